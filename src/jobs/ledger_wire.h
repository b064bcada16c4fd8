#pragma once

// Conversions between the ledger's types and their Cap'n Proto forms. Internal
// to the codec and the snapshot.

#include <string>
#include <vector>

#include <capnp/message.h>

#include "src/jobs/generated/ledger.capnp.h"
#include "src/jobs/ledger_record.h"

namespace marjoramplank::ledger_wire {

void Put(marjoramplank::Resources in, Resources::Builder out);
void Put(const JobRequest& in, Job::Builder out);
void Put(const WorkerLife& in, Life::Builder out);
void Put(const TaskRef& in, Task::Builder out);
void Put(const WorkerReported& in, Worker::Builder out);
void Put(const EntryStarted& in, EntryRelay::Builder out);
void Put(const MemberPlace& in, Member::Builder out);

marjoramplank::Resources Get(Resources::Reader in);
JobRequest Get(Job::Reader in);
WorkerLife Get(Life::Reader in);
TaskRef Get(Task::Reader in);
WorkerReported Get(Worker::Reader in);
EntryStarted Get(EntryRelay::Reader in);
MemberPlace Get(Member::Reader in);
std::vector<MemberPlace> Get(capnp::List<Member>::Reader in);
std::string Get(capnp::Text::Reader in);

std::string ToPackedBytes(capnp::MessageBuilder& message);

}  // namespace marjoramplank::ledger_wire
