#pragma once

// Conversions between the ledger's types and their Cap'n Proto messages.
// Internal to ledger_codec and ledger_snapshot.

#include <string>
#include <vector>

#include <capnp/message.h>

#include "src/jobs/generated/ledger.capnp.h"
#include "src/jobs/ledger_record.h"

namespace marjoramplank::ledger_wire {

void ToWire(marjoramplank::Resources in, Resources::Builder out);
void ToWire(const JobRequest& in, Job::Builder out);
void ToWire(const JobQueue& in, QueueRef::Builder out);
void ToWire(const WorkerIncarnation& in, Life::Builder out);
void ToWire(const TaskRef& in, Task::Builder out);
void ToWire(const WorkerReported& in, Worker::Builder out);
void ToWire(const EntryStarted& in, EntryRelay::Builder out);
void ToWire(const MemberPlace& in, Member::Builder out);

marjoramplank::Resources FromWire(Resources::Reader in);
JobRequest FromWire(Job::Reader in);
JobQueue FromWire(QueueRef::Reader in);
WorkerIncarnation FromWire(Life::Reader in);
TaskRef FromWire(Task::Reader in);
WorkerReported FromWire(Worker::Reader in);
EntryStarted FromWire(EntryRelay::Reader in);
MemberPlace FromWire(Member::Reader in);
std::vector<MemberPlace> FromWire(capnp::List<Member>::Reader in);
std::string FromWire(capnp::Text::Reader in);

std::string ToPackedBytes(capnp::MessageBuilder& message);

}  // namespace marjoramplank::ledger_wire
