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
