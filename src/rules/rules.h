#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/jobs/ledger_record.h"

namespace marjoramplank {

// A queue that clients submit jobs to.
struct QueueRule {
  std::string host;         // Host of the request.
  std::string path_prefix;  // Of the request's path; the longest match wins.
  QueueTerms terms;         // Copied into each accepted job.
  bool anonymous = false;   // True: no API key is required.

  QueueAddress address() const {
    return {.host = host, .path_prefix = path_prefix};
  }
  JobQueue job_queue() const {
    return {
        .address = address(), .queue = terms.queue, .service = terms.service};
  }

  friend bool operator==(const QueueRule&, const QueueRule&) = default;
};

// A client account.
struct AccountRule {
  std::string name;
  std::set<std::string> keys;                // Valid API keys.
  std::int64_t guaranteed_accelerators = 0;  // For its jobs of priority 0.

  friend bool operator==(const AccountRule&, const AccountRule&) = default;
};

// A service, whose workers run the jobs of its queues.
struct ServiceRule {
  std::string name;
  bool enforces_capacity = true;  // Workers refuse tasks that do not fit.

  friend bool operator==(const ServiceRule&, const ServiceRule&) = default;
};

// One accepted configuration of the operators.
struct Rules {
  std::int64_t version = 0;  // Higher for each configuration. 0: none yet.
  std::vector<QueueRule> queues;
  std::vector<AccountRule> accounts;
  std::vector<ServiceRule> services;
  std::size_t max_body_bytes = 262'144;  // Of a client's request.

  // Returns the queue with the longest matching path prefix, or null.
  const QueueRule* FindQueue(const std::string& host,
                             const std::string& path) const;
  // The queue of an accepted job: the one that has its address now. If there is
  // none, the one that has its queue's name, as it may have got another
  // address, or the job none yet. Null: the queue was removed.
  const QueueRule* FindQueueOf(const JobQueue& job) const;
  // Whether clients reach the job through this queue.
  bool IsQueueOf(const QueueRule& queue, const JobQueue& job) const;
  // Null: no account has this key.
  const AccountRule* FindAccountByKey(const std::string& key) const;
  // Null: no account has this name.
  const AccountRule* FindAccount(const std::string& name) const;

  friend bool operator==(const Rules&, const Rules&) = default;
};

// Closes a data centre, which then gets no new tasks, or reopens it.
struct DataCentreChange {
  std::string data_centre;
  bool closed = false;

  friend bool operator==(const DataCentreChange&,
                         const DataCentreChange&) = default;
};

using RuleChange = std::variant<Rules, DataCentreChange>;

// Local view of the rules, which may be out of date.
struct RulesView {
  Rules rules;
  std::set<std::string> closed_data_centres;
  // The view was confirmed to be current at some time after this.
  Time as_of{0};
  bool loaded = false;  // False: the rules have not been read yet.

  // Upper bound of the time for which the view may have been out of date.
  Duration Age(Time now) const { return now - as_of; }
};

}  // namespace marjoramplank
