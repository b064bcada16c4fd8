#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "src/jobs/job_request.h"

namespace marjoramplank {

// A queue that callers hand jobs in at.
struct QueueRule {
  std::string host;         // Host that callers name.
  std::string path_prefix;  // The longest that a path begins with counts.
  QueueTerms terms;         // Copied into each job.
  bool anonymous = false;   // True: callers need no key.

  friend bool operator==(const QueueRule&, const QueueRule&) = default;
};

struct AccountRule {
  std::string name;
  std::set<std::string> keys;
  std::int64_t guaranteed_accelerators = 0;  // For its jobs of priority 0.

  friend bool operator==(const AccountRule&, const AccountRule&) = default;
};

struct ServiceRule {
  std::string name;
  bool guards_capacity = true;  // Its workers refuse what does not fit.

  friend bool operator==(const ServiceRule&, const ServiceRule&) = default;
};

// What the operators decided: one accepted configuration.
struct Rules {
  std::int64_t version = 0;  // Rises with each configuration. 0: none yet.
  std::vector<QueueRule> queues;
  std::vector<AccountRule> accounts;
  std::vector<ServiceRule> services;
  std::size_t max_body_bytes = 262'144;  // Of a caller's request.

  const QueueRule* FindQueue(const std::string& host,
                             const std::string& path) const;
  // Nullptr: no account has this key.
  const AccountRule* FindAccountByKey(const std::string& key) const;
  const AccountRule* FindAccount(const std::string& name) const;

  friend bool operator==(const Rules&, const Rules&) = default;
};

// Data centres that take no new work.
struct DataCentreChange {
  std::string data_centre;
  bool closed = false;

  friend bool operator==(const DataCentreChange&,
                         const DataCentreChange&) = default;
};

using RuleChange = std::variant<Rules, DataCentreChange>;

// What a process believes of the rules.
struct RulesView {
  Rules rules;
  std::set<std::string> closed_data_centres;
  Time as_of{0};  // It was the newest at some instant after this.
  bool loaded = false;

  Duration Age(Time now) const { return now - as_of; }
};

}  // namespace marjoramplank
