#include "src/cli/operator_commands.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

#include "marjoramplank/planner.h"
#include "src/cli/output.h"
#include "src/codec/inventory_codec.h"

namespace marjoramplank {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

// The active configuration as an entry returns it.
struct PublishedConfig {
  std::int64_t version = -1;  // -1: nothing has been published yet.
  std::string author;
  std::string document;
};

Result<PublishedConfig> FetchConfig(const CliOptions& options) {
  const auto result = HttpClient(options.entries).Call("GET", "/v1/config");
  if (const Error* e = std::get_if<Error>(&result)) {
    return *e;
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  if (reply.status != 200) {
    return Error{.code = ErrorCode::kUnavailable,
                 .step = "config.show",
                 .message = reply.body};
  }
  const Object::Ptr body = ParseReply(reply);
  return PublishedConfig{.version = body->optValue<std::int64_t>("version", -1),
                         .author = FieldText(body, "author"),
                         .document = FieldText(body, "document")};
}

// Parses a configuration document. Prints its errors and returns false if it is
// invalid.
bool ParseDocument(const std::string& text, Inventory& inventory) {
  const auto parsed = ParseInventory(text);
  if (const auto* errors = std::get_if<std::vector<FieldError>>(&parsed)) {
    for (const FieldError& e : *errors) {
      std::cerr << (e.path.empty() ? "" : e.path + ": ") << e.message << "\n";
    }
    return false;
  }
  inventory = std::get<Inventory>(parsed);
  return true;
}

// Waits until every live entry and agent has applied the version.
int WaitUntilApplied(const CliOptions& options, std::int64_t version) {
  const auto deadline = std::chrono::steady_clock::now() + options.timeout;
  std::string last_progress;
  while (std::chrono::steady_clock::now() < deadline) {
    const auto result = HttpClient(options.entries).Call("GET", "/v1/status");
    if (const ClientReply* reply = std::get_if<ClientReply>(&result);
        reply != nullptr && reply->status == 200) {
      const Array::Ptr entries = ParseReply(*reply)->getArray("entries");
      std::size_t outdated_instances = 0;
      std::size_t agents = 0;
      for (std::size_t i = 0; !entries.isNull() && i < entries->size(); ++i) {
        const Object::Ptr entry = entries->getObject(static_cast<unsigned>(i));
        const bool is_outdated =
            entry->optValue<std::int64_t>("config_version", -1) < version;
        outdated_instances +=
            is_outdated ? 1 : entry->getArray("agents_behind")->size();
        agents = std::max(agents, entry->optValue<std::size_t>("agents", 0));
      }
      const std::string progress = "version " + std::to_string(version) + ": " +
                                   std::to_string(outdated_instances) +
                                   " instances have not applied it; entries " +
                                   std::to_string(entries->size()) +
                                   ", agents " + std::to_string(agents);
      if (progress != last_progress && !options.print_json) {
        std::cout << progress << "\n";
        last_progress = progress;
      }
      if (outdated_instances == 0) {
        return kCliOk;
      }
    }
    constexpr std::chrono::milliseconds kPollInterval{200};
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cerr << "timed out: not every instance has applied the version\n";
  return kCliOutcomeUnknown;
}

int PublishDocument(const CliOptions& options,
                    std::int64_t base_version,
                    const std::string& document) {
  Object::Ptr body = new Object(Poco::JSON_PRESERVE_KEY_ORDER);
  body->set("base_version", base_version);
  body->set("author", options.author);
  body->set("document", document);
  body->set("allow_unmet_guarantees", options.force);
  const auto result =
      HttpClient(options.entries).Call("POST", "/v1/config", ToText(body));
  if (const Error* e = std::get_if<Error>(&result)) {
    return ReportCallError(*e);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  if (code != kCliOk) {
    return code;
  }
  const std::int64_t version =
      ParseReply(reply)->optValue<std::int64_t>("version", -1);
  if (!options.print_json) {
    std::cout << "version " << version << " is accepted\n";
  }
  return options.wait_for_completion ? WaitUntilApplied(options, version)
                                     : kCliOk;
}

// Reads the active configuration, modifies it and publishes the result. The
// version that was read is the base, so that a concurrent change is a conflict.
template <typename F>
int ModifyConfig(const CliOptions& options, F modify) {
  const Result<PublishedConfig> current = FetchConfig(options);
  if (const Error* e = std::get_if<Error>(&current)) {
    return ReportCallError(*e);
  }
  const PublishedConfig& config = std::get<PublishedConfig>(current);
  Inventory inventory;
  if (config.version < 0 || !ParseDocument(config.document, inventory)) {
    std::cerr << "no configuration has been published yet\n";
    return kCliFailed;
  }
  if (!modify(inventory)) {
    return kCliUsage;
  }
  CliOptions forced_options = options;
  // Capacity may be taken out of service even if guarantees cannot be met then.
  forced_options.force = true;
  return PublishDocument(forced_options, config.version,
                         ToText(ToJson(inventory)));
}

// Prints added (+), changed (~) and removed (-) items, matched by name.
template <typename T>
void PrintDiffByName(const char* item_kind,
                     const std::vector<T>& before,
                     const std::vector<T>& after) {
  std::map<std::string, const T*> unmatched;
  for (const T& item : before) {
    unmatched[item.name] = &item;
  }
  for (const T& item : after) {
    const auto it = unmatched.find(item.name);
    if (it == unmatched.end()) {
      std::cout << "+ " << item_kind << " " << item.name << "\n";
      continue;
    }
    if (!(*it->second == item)) {
      std::cout << "~ " << item_kind << " " << item.name << "\n";
    }
    unmatched.erase(it);
  }
  for (const auto& [name, item] : unmatched) {
    std::cout << "- " << item_kind << " " << name << "\n";
  }
}

void PrintStatus(const Object::Ptr& body) {
  const Array::Ptr entries = body->getArray("entries");
  for (std::size_t i = 0; !entries.isNull() && i < entries->size(); ++i) {
    const Object::Ptr e = entries->getObject(static_cast<unsigned>(i));
    std::cout << "entry " << FieldText(e, "name") << "  log "
              << (e->optValue("log_visible", false) ? "visible" : "NOT VISIBLE")
              << "  config " << FieldText(e, "config_version")
              << (e->optValue("fresh", false) ? "" : " (NOT FRESH)")
              << "  agents " << FieldText(e, "agents") << "\n";
  }
  const Array::Ptr regions = body->getArray("regions");
  for (std::size_t i = 0; !regions.isNull() && i < regions->size(); ++i) {
    const Object::Ptr r = regions->getObject(static_cast<unsigned>(i));
    std::cout << "\nregion " << FieldText(r, "region") << "  planned by "
              << FieldText(r, "planned_by") << "  queued "
              << FieldText(r, "queued") << "  running "
              << FieldText(r, "running") << "\n";
    std::cout << std::left << "  " << std::setw(16) << "data centre"
              << std::setw(12) << "workers" << std::setw(14) << "accelerators"
              << std::setw(8) << "used"
              << "fragmentation\n";
    const Array::Ptr data_centres = r->getArray("data_centres");
    for (std::size_t n = 0; n < data_centres->size(); ++n) {
      const Object::Ptr dc = data_centres->getObject(static_cast<unsigned>(n));
      std::cout << "  " << std::setw(16) << FieldText(dc, "name")
                << std::setw(12)
                << FieldText(dc, "workers_up") + "/" + FieldText(dc, "workers")
                << std::setw(14) << FieldText(dc, "accelerators")
                << std::setw(8) << FieldText(dc, "used") << std::setw(6)
                << std::setprecision(2) << dc->optValue("fragmentation", 0.0)
                << (dc->optValue("out_of_service", false) ? " OUT OF SERVICE"
                                                          : "")
                << "\n";
    }
    std::cout << "  " << std::setw(16) << "account" << std::setw(12)
              << "guaranteed" << std::setw(10) << "reserved" << std::setw(12)
              << "guar. used" << std::setw(8) << "shared" << std::setw(10)
              << "borrowed" << std::setw(8) << "queued"
              << "running\n";
    const Array::Ptr accounts = r->getArray("accounts");
    for (std::size_t n = 0; n < accounts->size(); ++n) {
      const Object::Ptr a = accounts->getObject(static_cast<unsigned>(n));
      std::cout << "  " << std::setw(16) << FieldText(a, "account")
                << std::setw(12) << FieldText(a, "guaranteed") << std::setw(10)
                << FieldText(a, "reserved") << std::setw(12)
                << FieldText(a, "used_guaranteed") << std::setw(8)
                << FieldText(a, "used_shared") << std::setw(10)
                << FieldText(a, "used_borrowed") << std::setw(8)
                << FieldText(a, "queued") << FieldText(a, "running") << "\n";
    }
    const Array::Ptr unmet = r->getArray("unmet_guarantees");
    for (std::size_t n = 0; n < unmet->size(); ++n) {
      std::cout << "  UNMET: "
                << unmet->getElement<std::string>(static_cast<unsigned>(n))
                << "\n";
    }
  }
}

}  // namespace

int StatusCommand(const CliOptions& options) {
  while (true) {
    const auto result = HttpClient(options.entries).Call("GET", "/v1/status");
    if (const Error* e = std::get_if<Error>(&result)) {
      return ReportCallError(*e);
    }
    const ClientReply& reply = std::get<ClientReply>(result);
    const int code = ReportReply(options, reply);
    if (code == kCliOk && !options.print_json) {
      if (options.refresh_interval > Duration{0}) {
        std::cout << "\033[H\033[2J";
      }
      PrintStatus(ParseReply(reply));
    }
    if (options.refresh_interval <= Duration{0}) {
      return code;
    }
    std::cout.flush();
    std::this_thread::sleep_for(options.refresh_interval);
  }
}

int ConfigCheckCommand(const CliOptions& options, const std::string& file) {
  const std::optional<std::string> text = ReadInput(file);
  Inventory inventory;
  if (!text || !ParseDocument(*text, inventory)) {
    return kCliUsage;
  }
  const std::vector<std::string> unmet = CheckGuarantees(inventory);
  for (const std::string& violation : unmet) {
    std::cerr << "cannot be met: " << violation << "\n";
  }
  for (const DataCentreSpec& dc : inventory.data_centres) {
    for (const std::string& violation :
         unmet.empty() ? CheckGuarantees(inventory, dc.name)
                       : std::vector<std::string>{}) {
      std::cerr << "warning: with " << dc.name
                << " out of service: " << violation << "\n";
    }
  }
  if (unmet.empty() && !options.print_json) {
    std::cout << "valid: " << inventory.data_centres.size() << " data centres, "
              << inventory.workers.size() << " workers, "
              << inventory.accounts.size() << " accounts\n";
  }
  return unmet.empty() ? kCliOk : kCliUsage;
}

int ConfigDiffCommand(const CliOptions& options, const std::string& file) {
  const std::optional<std::string> text = ReadInput(file);
  Inventory after;
  if (!text || !ParseDocument(*text, after)) {
    return kCliUsage;
  }
  const Result<PublishedConfig> current = FetchConfig(options);
  if (const Error* e = std::get_if<Error>(&current)) {
    return ReportCallError(*e);
  }
  Inventory before;
  const PublishedConfig& config = std::get<PublishedConfig>(current);
  if (config.version >= 0 && !ParseDocument(config.document, before)) {
    return kCliFailed;
  }
  std::cout << "compared with version " << config.version << "\n";
  PrintDiffByName("data centre", before.data_centres, after.data_centres);
  PrintDiffByName("worker", before.workers, after.workers);
  PrintDiffByName("account", before.accounts, after.accounts);
  return kCliOk;
}

int ConfigApplyCommand(const CliOptions& options, const std::string& file) {
  const std::optional<std::string> text = ReadInput(file);
  Inventory inventory;
  if (!text || !ParseDocument(*text, inventory)) {
    return kCliUsage;
  }
  const Result<PublishedConfig> current = FetchConfig(options);
  if (const Error* e = std::get_if<Error>(&current)) {
    return ReportCallError(*e);
  }
  return PublishDocument(options, std::get<PublishedConfig>(current).version,
                         *text);
}

int ConfigShowCommand(const CliOptions& options) {
  const Result<PublishedConfig> current = FetchConfig(options);
  if (const Error* e = std::get_if<Error>(&current)) {
    return ReportCallError(*e);
  }
  const PublishedConfig& config = std::get<PublishedConfig>(current);
  std::cerr << "version " << config.version << " by " << config.author << "\n";
  std::cout << config.document << "\n";
  return kCliOk;
}

int ConfigHistoryCommand(const CliOptions& options) {
  const auto result =
      HttpClient(options.entries).Call("GET", "/v1/config/history");
  if (const Error* e = std::get_if<Error>(&result)) {
    return ReportCallError(*e);
  }
  const ClientReply& reply = std::get<ClientReply>(result);
  const int code = ReportReply(options, reply);
  const Array::Ptr history = ParseReply(reply)->getArray("history");
  for (std::size_t i = 0;
       !options.print_json && !history.isNull() && i < history->size(); ++i) {
    const Object::Ptr v = history->getObject(static_cast<unsigned>(i));
    std::cout << FieldText(v, "version") << "  " << FieldText(v, "author")
              << "  " << FieldText(v, "change_id") << "\n";
  }
  return code;
}

int DataCentreCommand(const CliOptions& options,
                      const std::string& name,
                      bool out_of_service) {
  return ModifyConfig(options, [&](Inventory& inventory) {
    for (DataCentreSpec& dc : inventory.data_centres) {
      if (dc.name == name) {
        dc.out_of_service = out_of_service;
        return true;
      }
    }
    std::cerr << "no such data centre: " << name << "\n";
    return false;
  });
}

int CordonCommand(const CliOptions& options,
                  const std::string& worker,
                  bool cordoned) {
  return ModifyConfig(options, [&](Inventory& inventory) {
    for (WorkerSpec& w : inventory.workers) {
      if (w.name == worker) {
        w.cordoned = cordoned;
        return true;
      }
    }
    std::cerr << "no such worker: " << worker << "\n";
    return false;
  });
}

}  // namespace marjoramplank
