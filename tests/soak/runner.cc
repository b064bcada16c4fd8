#include "tests/soak/runner.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "tests/soak/client.h"
#include "tests/soak/site.h"
#include "tests/standins/standin.h"

namespace marjoramplank::soak {
namespace {

using standins::Note;
using standins::SteadyMs;
using standins::UnixMs;

constexpr std::int64_t kStepMs = 50;
constexpr std::int64_t kProgressMs = 5000;
constexpr std::int64_t kReadyLimitMs = 15'000;
constexpr std::int64_t kRenameRetryMs = 300;
constexpr int kFirstVersion = 7;  // Of the configuration.
constexpr std::int64_t kRestartMs = 300;
constexpr std::int64_t kLongestSettleMs = 32'000;

std::string Numbered(const char* kind, int number) {
  return std::string(kind) + "-" + std::to_string(number);
}

int NumberOf(const std::string& name) {
  return std::stoi(name.substr(name.find('-') + 1));
}

void Say(const std::string& text) {
  Note("soak", text);
}

void Wait(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

}  // namespace

Runner::Runner(const RunOptions& options, const Plan& plan)
    : options_(options),
      plan_(plan),
      checker_(plan.jobs, options.shape.workers, plan.bounds),
      reader_(options.folder + "/record.txt") {
  AssignAddresses();
}

Runner::~Runner() {
  closed_ = true;
  stopped_ = true;
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

std::string Runner::Path(const std::string& name) const {
  return options_.folder + "/" + name;
}

std::int64_t Runner::Now() const {
  return SteadyMs() - begin_ms_;
}

void Runner::AssignAddresses() {
  std::vector<std::string> names{"store"};
  for (int n = 1; n <= options_.shape.entries; ++n) {
    const std::string name = Numbered("entry", n);
    names.insert(names.end(),
                 {name, name + ".second", name + ".relay", name + ".metrics"});
  }
  for (int n = 1; n <= options_.shape.workers; ++n) {
    const std::string name = Numbered("agent", n);
    names.insert(names.end(),
                 {name, name + ".second", name + ".relay", name + ".metrics"});
  }
  const auto addresses = FreeAddresses(static_cast<int>(names.size()));
  for (std::size_t n = 0; n < names.size(); ++n) {
    addresses_[names[n]] = addresses[n];
  }
  for (int n = 1; n <= options_.shape.entries; ++n) {
    entries_.push_back(addresses_[Numbered("entry", n)]);
  }
}

void Runner::StartStore() {
  WriteControl();
  processes_.Start("store",
                   {.words = {options_.programs + "/standin-store", "--address",
                              addresses_["store"], "--control", Path("control"),
                              "--seed", std::to_string(options_.seed), "--page",
                              std::to_string(plan_.page_keys)},
                    .log = Path("store.log")});
}

void Runner::StartSite(const std::string& name) {
  const bool is_entry = name.starts_with("entry");
  const int number = NumberOf(name);
  const Settings settings{
      .name = (is_entry ? "edge-" : "side-") + std::to_string(number),
      .zone = PlaceOf(number).zone,
      .store = addresses_["store"],
      .metrics = addresses_[name + ".metrics"],
      .relay = addresses_[name + ".relay"],
      .first = addresses_[name],
      .second = addresses_[name + ".second"],
      .is_entry = is_entry,
      .bounds = plan_.bounds,
      .listed_ends = plan_.listed_ends};
  std::ofstream(Path(name + ".json")) << ToText(settings);
  processes_.Start(name, {.words = {options_.programs + "/marjoramplank-site",
                                    is_entry ? "entry" : "agent"},
                          .boot = Path(name + ".json"),
                          .log = Path(name + ".log")});
  Say("starts " + name);
}

void Runner::StartWorker(int number, std::int64_t clock_offset_ms) {
  const std::string name = Numbered("worker", number);
  const WorkerIdentity w = Identity(number);
  processes_.Start(name, {.words = {options_.programs + "/standin-worker",
                                    "--name",
                                    name,
                                    "--id",
                                    w.id,
                                    "--address",
                                    w.address,
                                    "--agent",
                                    w.agent,
                                    "--service",
                                    w.service,
                                    "--zone",
                                    w.zone,
                                    "--rack",
                                    w.rack,
                                    "--max-hold",
                                    std::to_string(plan_.bounds.max_hold),
                                    "--stop-ms",
                                    std::to_string(plan_.bounds.stop),
                                    "--unacked-leave-ms",
                                    std::to_string(plan_.bounds.unacked_leave),
                                    "--gang-timeout",
                                    std::to_string(plan_.bounds.gang_timeout),
                                    "--gangs",
                                    Path("gangs"),
                                    "--late-share",
                                    std::to_string(plan_.late_percent),
                                    "--seed",
                                    std::to_string(options_.seed * 1000 +
                                                   number + 100 * ++starts_),
                                    "--control",
                                    Path("workers"),
                                    "--clock-offset",
                                    std::to_string(clock_offset_ms),
                                    "--listed-ends",
                                    std::to_string(plan_.listed_ends),
                                    "--odd-rows",
                                    plan_.odd_rows ? "1" : "0"},
                          .log = Path(name + ".log")});
  Say("starts " + name + " as " + w.id);
}

WorkerIdentity Runner::Identity(int number) const {
  const std::string name = Numbered("worker", number);
  const std::string agent = Numbered("agent", number);
  const auto id = ids_.find(name);
  const auto born = born_.find(name);
  return {.id = id == ids_.end() ? "i-" + std::to_string(1000 + number)
                                 : id->second,
          .address = addresses_.at(agent + ".second"),
          .agent = addresses_.at(agent),
          .zone = PlaceOf(number).zone,
          .rack = PlaceOf(number).rack,
          .service = kService,
          .born = born == born_.end() ? UnixMs() : born->second};
}

bool Runner::StartDeployment(const std::atomic<bool>& interrupted) {
  std::filesystem::create_directories(Path("gangs"));
  std::ofstream(Path("workers")).close();
  StartStore();
  for (int n = 1; n <= options_.shape.entries; ++n) {
    StartSite(Numbered("entry", n));
  }
  for (int n = 1; n <= options_.shape.workers; ++n) {
    StartSite(Numbered("agent", n));
    StartWorker(n, 0);
  }
  const std::int64_t limit = SteadyMs() + kReadyLimitMs;
  bool configured = false;
  while (SteadyMs() < limit && !interrupted) {
    configured = configured || PutEntry(addresses_["store"], "config",
                                        Configuration(kFirstVersion));
    const bool ready = std::all_of(entries_.begin(), entries_.end(),
                                   [&](const std::string& entry) {
                                     return Send({.method = "GET",
                                                  .address = entry,
                                                  .target = "/pule252/",
                                                  .limit_ms = 500})
                                                .status == 200;
                                   });
    if (configured && ready) {
      Wait(3000);  // Each worker is heard.
      return true;
    }
    Wait(200);
  }
  return false;
}

bool Runner::Run(const std::atomic<bool>& interrupted) {
  if (!StartDeployment(interrupted)) {
    return false;
  }
  Say("the deployment is ready");
  begin_ms_ = SteadyMs();
  Schedule();
  while (!restored_ && !interrupted) {
    Step();
  }
  const std::int64_t settled = UnixMs();
  const std::int64_t limit = SteadyMs() + kLongestSettleMs;
  // Late appends and leases of the faults run out before an early end.
  const std::int64_t earliest =
      SteadyMs() + std::max(plan_.bounds.max_hold, plan_.bounds.latest_order);
  while (!interrupted && SteadyMs() < limit &&
         (SteadyMs() < earliest || !checker_.OpenJobs().empty())) {
    Step();
    checker_.OnTime(UnixMs(), settled);
  }
  return !interrupted;
}

void Runner::Schedule() {
  for (const Fault& fault : plan_.faults) {
    At(fault.at_ms, [this, &fault] { Play(fault); });
  }
  for (const Job& job : plan_.jobs) {
    At(job.at_ms, [this, &job] { Submit(job); });
  }
  for (std::int64_t at = kProgressMs; at < options_.shape.length_ms;
       at += kProgressMs) {
    At(at, [this] { PrintProgress(); });
  }
  At(options_.shape.length_ms / 2, [this] { RenameQueues(); });
  At(options_.shape.length_ms, [this] { Restore(); });
}

void Runner::RenameQueues() {
  const bool stored =
      PutEntry(addresses_["store"], "config", Configuration(kFirstVersion + 1));
  if (!stored && !restored_) {
    After(kRenameRetryMs, [this] { RenameQueues(); });
  }
}

void Runner::Step() {
  while (!actions_.empty() && actions_.begin()->first <= Now()) {
    const Action action = actions_.begin()->second;
    actions_.erase(actions_.begin());
    action();
  }
  for (const Exit& exit : processes_.TakeExits()) {
    OnExit(exit);
  }
  for (const Line& line : reader_.TakeLines()) {
    if (line.source.starts_with("worker-") && line.words.size() > 3 &&
        line.words[1] == "begins,") {
      born_[line.source] = std::stoll(line.words[3]);
    }
    checker_.OnLine(line);
  }
  checker_.OnTime(UnixMs(), 0);
  Wait(kStepMs);
}

void Runner::OnExit(const Exit& exit) {
  Say("gone " + exit.name);
  if (!exit.expected) {
    Say("unexpected end of " + exit.name + ", status " +
        std::to_string(exit.status));
    Say("disturbs " + exit.name);
  }
  After(kRestartMs + downs_[exit.name], [this, name = exit.name] {
    if (name != "store") {
      StartAgain(name);
    }
    Say("settles " + name);
  });
}

void Runner::StartAgain(const std::string& name) {
  if (processes_.IsRunning(name)) {
    return;
  }
  if (name.starts_with("worker")) {
    StartWorker(NumberOf(name), 0);
  } else {
    StartSite(name);
  }
}

void Runner::Submit(const Job& job) {
  const std::uint64_t seed =
      options_.seed * 1'000'003 + static_cast<std::uint64_t>(job.at_ms);
  threads_.emplace_back([this, &job, seed] {
    FollowJob(job, entries_, seed, closed_, stopped_);
  });
}

void Runner::Restore() {
  Say("all faults end");
  closed_ = true;
  store_faults_.clear();
  std::ofstream(Path("workers")) << "punctual\n";
  WriteControl();
  restored_ = true;
}

void Runner::PrintProgress() const {
  const Counts& c = checker_.counts();
  std::cout << Now() / 1000 << " s: " << c.accepted << " jobs accepted, "
            << c.refused << " refused, " << c.ended << " ended, " << c.runs
            << " runs, " << c.done << " done; " << checker_.breaks().size()
            << " breaks\n"
            << std::flush;
}

void Runner::WriteControl() {
  {
    std::ofstream out(Path("control.new"));
    for (const auto& [word, figure] : store_faults_) {
      out << word << " " << figure << "\n";
    }
  }
  std::rename(Path("control.new").c_str(), Path("control").c_str());
}

}  // namespace marjoramplank::soak
