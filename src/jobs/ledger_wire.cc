#include "src/jobs/ledger_wire.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace marjoramplank::ledger_wire {

namespace {

constexpr std::int32_t kNotLimited = -1;

std::optional<std::int32_t> ReadLimit(std::int32_t in) {
  return in < 0 ? std::nullopt : std::optional(in);
}

void ToWire(const JobStep& in, Step::Builder out) {
  out.setTasks(in.tasks);
  ToWire(in.need, out.initNeed());
  out.setEstimateMs(in.estimate.count());
  auto after = out.initAfter(static_cast<unsigned>(in.after.size()));
  for (unsigned i = 0; i < after.size(); ++i) {
    after.set(i, in.after[i]);
  }
  out.setGang(in.gang);
  out.setSameRack(in.same_rack);
  out.setCheckpoints(in.checkpoints);
  out.setSpeculative(in.speculative);
  out.setLasting(in.long_running);
  out.setUsesIdleCpu(in.uses_idle_cpu);
  out.setRequiredLabel(in.required_label);
  out.setDataRack(in.data_rack);
  out.setMaxPerWorker(in.max_per_worker);
  out.setMaxUnavailable(in.max_unavailable.value_or(kNotLimited));
  out.setImage(in.image);
  out.setLatencyTargetMs(in.latency_target.count());
}

JobStep FromWire(Step::Reader in) {
  JobStep out{.tasks = in.getTasks(),
              .need = ledger_wire::FromWire(in.getNeed()),
              .estimate = Duration(in.getEstimateMs()),
              .gang = in.getGang(),
              .same_rack = in.getSameRack(),
              .checkpoints = in.getCheckpoints(),
              .speculative = in.getSpeculative(),
              .long_running = in.getLasting(),
              .uses_idle_cpu = in.getUsesIdleCpu(),
              .required_label = ledger_wire::FromWire(in.getRequiredLabel()),
              .data_rack = ledger_wire::FromWire(in.getDataRack()),
              .max_per_worker = in.getMaxPerWorker(),
              .max_unavailable = ReadLimit(in.getMaxUnavailable()),
              .image = ledger_wire::FromWire(in.getImage()),
              .latency_target = Duration(in.getLatencyTargetMs())};
  for (const std::int32_t n : in.getAfter()) {
    out.after.push_back(n);
  }
  return out;
}

}  // namespace

void ToWire(marjoramplank::Resources in, Resources::Builder out) {
  out.setCpuMilli(in.cpu_milli);
  out.setMemoryMb(in.memory_mb);
  out.setAccelerators(in.accelerators);
}

void ToWire(const JobRequest& in, Job::Builder out) {
  out.setId(in.id);
  out.setAccount(in.account);
  out.setPayload(in.payload);
  auto steps = out.initSteps(static_cast<unsigned>(in.steps.size()));
  for (unsigned i = 0; i < steps.size(); ++i) {
    ToWire(in.steps[i], steps[i]);
  }
  out.setTimes(in.recurrence.occurrence_count);
  out.setFirstDueUnixMs(in.recurrence.first_due_unix_ms);
  out.setIntervalMs(in.recurrence.interval_ms);
  out.setQueue(in.terms.queue);
  out.setService(in.terms.service);
  out.setPriority(in.terms.priority);
  out.setMaxAttempts(in.terms.max_attempts);
  out.setStretch(in.terms.stretch);
  out.setTargetMs(in.terms.target.count());
  out.setHost(in.address.host);
  out.setPathPrefix(in.address.path_prefix);
}

void ToWire(const JobQueue& in, QueueRef::Builder out) {
  out.setHost(in.address.host);
  out.setPathPrefix(in.address.path_prefix);
  out.setQueue(in.queue);
  out.setService(in.service);
}

void ToWire(const WorkerIncarnation& in, Life::Builder out) {
  out.setId(in.id);
  out.setBornMs(in.started_at_unix_ms);
}

void ToWire(const TaskRef& in, Task::Builder out) {
  out.setJob(in.job);
  out.setOccurrence(in.occurrence);
  out.setStep(in.step);
  out.setIndex(in.index);
}

void ToWire(const WorkerReported& in, Worker::Builder out) {
  out.setAgent(in.agent);
  ToWire(in.incarnation, out.initLife());
  out.setService(in.service);
  out.setDataCentre(in.data_centre);
  out.setRack(in.rack);
  auto labels = out.initLabels(static_cast<unsigned>(in.labels.size()));
  for (unsigned i = 0; i < labels.size(); ++i) {
    labels.set(i, in.labels[i]);
  }
  ToWire(in.capacity, out.initCapacity());
  out.setAccepting(in.accepting);
  out.setLeavesInMs(in.leaves_in_ms);
  out.setProcess(in.statement.process);
  out.setStatement(in.statement.number);
}

void ToWire(const EntryStarted& in, EntryRelay::Builder out) {
  out.setEntry(in.entry);
  out.setDataCentre(in.data_centre);
  out.setRelay(in.relay_address);
}

void ToWire(const MemberPlace& in, Member::Builder out) {
  out.setIndex(in.index);
  ToWire(in.incarnation, out.initLife());
}

marjoramplank::Resources FromWire(Resources::Reader in) {
  return {.cpu_milli = in.getCpuMilli(),
          .memory_mb = in.getMemoryMb(),
          .accelerators = in.getAccelerators()};
}

JobRequest FromWire(Job::Reader in) {
  JobRequest out{
      .id = FromWire(in.getId()),
      .account = FromWire(in.getAccount()),
      .payload = FromWire(in.getPayload()),
      .recurrence = {.occurrence_count = in.getTimes(),
                     .first_due_unix_ms = in.getFirstDueUnixMs(),
                     .interval_ms = in.getIntervalMs()},
      .terms = {.queue = FromWire(in.getQueue()),
                .service = FromWire(in.getService()),
                .priority = in.getPriority(),
                .max_attempts = in.getMaxAttempts(),
                .stretch = in.getStretch(),
                .target = Duration(in.getTargetMs())},
      .address = {.host = FromWire(in.getHost()),
                  .path_prefix = FromWire(in.getPathPrefix())},
  };
  for (const auto step : in.getSteps()) {
    out.steps.push_back(FromWire(step));
  }
  return out;
}

JobQueue FromWire(QueueRef::Reader in) {
  return {.address = {.host = FromWire(in.getHost()),
                      .path_prefix = FromWire(in.getPathPrefix())},
          .queue = FromWire(in.getQueue()),
          .service = FromWire(in.getService())};
}

WorkerIncarnation FromWire(Life::Reader in) {
  return {.id = FromWire(in.getId()), .started_at_unix_ms = in.getBornMs()};
}

TaskRef FromWire(Task::Reader in) {
  return {.job = FromWire(in.getJob()),
          .occurrence = in.getOccurrence(),
          .step = in.getStep(),
          .index = in.getIndex()};
}

WorkerReported FromWire(Worker::Reader in) {
  WorkerReported out{.agent = FromWire(in.getAgent()),
                     .incarnation = FromWire(in.getLife()),
                     .service = FromWire(in.getService()),
                     .data_centre = FromWire(in.getDataCentre()),
                     .rack = FromWire(in.getRack()),
                     .capacity = FromWire(in.getCapacity()),
                     .accepting = in.getAccepting(),
                     .leaves_in_ms = in.getLeavesInMs(),
                     .statement = {.process = FromWire(in.getProcess()),
                                   .number = in.getStatement()}};
  for (const auto label : in.getLabels()) {
    out.labels.push_back(FromWire(label));
  }
  return out;
}

EntryStarted FromWire(EntryRelay::Reader in) {
  return {.entry = FromWire(in.getEntry()),
          .data_centre = FromWire(in.getDataCentre()),
          .relay_address = FromWire(in.getRelay())};
}

MemberPlace FromWire(Member::Reader in) {
  return {.index = in.getIndex(), .incarnation = FromWire(in.getLife())};
}

std::vector<MemberPlace> FromWire(capnp::List<Member>::Reader in) {
  std::vector<MemberPlace> out;
  for (const auto m : in) {
    out.push_back(FromWire(m));
  }
  return out;
}

std::string FromWire(capnp::Text::Reader in) {
  return {in.begin(), in.size()};
}

std::string ToPackedBytes(capnp::MessageBuilder& message) {
  kj::VectorOutputStream out;
  capnp::writePackedMessage(out, message);
  const auto bytes = out.getArray();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

}  // namespace marjoramplank::ledger_wire
