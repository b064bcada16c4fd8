#include "src/rules/rules.h"

#include <algorithm>

namespace marjoramplank {

const QueueRule* Rules::FindQueue(const std::string& host,
                                  const std::string& path) const {
  const QueueRule* longest_match = nullptr;
  for (const QueueRule& q : queues) {
    if (q.host != host || !path.starts_with(q.path_prefix)) {
      continue;
    }
    if (longest_match == nullptr ||
        q.path_prefix.size() > longest_match->path_prefix.size()) {
      longest_match = &q;
    }
  }
  return longest_match;
}

const QueueRule* Rules::FindQueueOf(const JobQueue& job) const {
  const bool has_address = job.address != QueueAddress();
  const QueueRule* same_name = nullptr;
  for (const QueueRule& q : queues) {
    if (has_address && q.address() == job.address) {
      return &q;
    }
    same_name = q.terms.queue == job.queue ? &q : same_name;
  }
  return same_name;
}

bool Rules::IsQueueOf(const QueueRule& queue, const JobQueue& job) const {
  const QueueRule* now = FindQueueOf(job);
  // A job of an earlier version whose queue has no such name any more may have
  // come through any: its id has to do.
  return now == nullptr ? job.address == QueueAddress()
                        : now->address() == queue.address();
}

const AccountRule* Rules::FindAccountByKey(const std::string& key) const {
  const auto it =
      std::find_if(accounts.begin(), accounts.end(),
                   [&](const AccountRule& a) { return a.keys.contains(key); });
  return it == accounts.end() ? nullptr : &*it;
}

const AccountRule* Rules::FindAccount(const std::string& name) const {
  const auto it =
      std::find_if(accounts.begin(), accounts.end(),
                   [&](const AccountRule& a) { return a.name == name; });
  return it == accounts.end() ? nullptr : &*it;
}

}  // namespace marjoramplank
