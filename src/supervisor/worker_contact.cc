#include "src/supervisor/worker_contact.h"

#include <algorithm>

namespace marjoramplank {

void WorkerContact::Reset(Time leases_end_by, bool has_answered) {
  *this = {};
  has_answered_ = has_answered;
  last_lease_end_ = leases_end_by;
}

void WorkerContact::OnHeartbeat(Time now) {
  heard_at_ = now;
  failures_in_row_ = 0;
  refused_in_row_ = 0;
}

void WorkerContact::OnAnswer(Time now) {
  heard_at_ = now;
  has_answered_ = true;
  failures_in_row_ = 0;
  failing_since_ = Time{0};
  unsent_in_row_ = 0;
  refused_in_row_ = 0;
}

void WorkerContact::OnNoAnswer(Time now) {
  failing_since_ = IsFailing() ? failing_since_ : now;
  unsent_in_row_ = 0;
  refused_in_row_ = 0;
  ++failures_in_row_;
}

void WorkerContact::OnNotSent(Time now) {
  failing_since_ = IsFailing() ? failing_since_ : now;
  ++unsent_in_row_;
  refused_in_row_ = 0;
  ++failures_in_row_;
}

void WorkerContact::OnConnectionRefused(Time now) {
  const int refused_before = refused_in_row_;
  refused_since_ = refused_before == 0 ? now : refused_since_;
  OnNotSent(now);
  refused_in_row_ = refused_before + 1;
}

bool WorkerContact::HasEnded(Time now) const {
  return has_answered_ && refused_in_row_ >= kRefusedConnections &&
         now - refused_since_ >= kRefusedFor;
}

void WorkerContact::OnStartSent(Time lease_end) {
  last_lease_end_ = std::max(last_lease_end_, lease_end);
}

void WorkerContact::OnLeaseSent(Time lease_end) {
  lease_in_flight_ = lease_end;
}

void WorkerContact::OnLeaseMaybeGranted() {
  last_lease_end_ = std::max(last_lease_end_, lease_in_flight_);
  lease_in_flight_ = Time{0};
}

bool WorkerContact::OnRunning(Time now) {
  const Duration pause =
      running_at_ == Time{0} ? Duration(0) : now - running_at_;
  running_at_ = now;
  if (pause <= kMaxPause) {
    return false;
  }
  last_lease_end_ += pause;
  if (lease_in_flight_ != Time{0}) {
    lease_in_flight_ += pause;
  }
  return true;
}

bool WorkerContact::IsReachable(Time now) const {
  return !IsFailing() || (now - failing_since_ < kUnreachableAfter &&
                          unsent_in_row_ < kUnsentCalls);
}

bool WorkerContact::MayRenewLeases(Time now) const {
  return !IsFailing() || now - failing_since_ < kRenewWhileSilent;
}

Duration WorkerContact::ListingInterval() const {
  constexpr int kMaxDoublings = 8;
  return std::min(
      kMinListingInterval * (1 << std::min(failures_in_row_, kMaxDoublings)),
      kMaxListingInterval);
}

bool WorkerContact::HaveLeasesEnded(Time now) const {
  return now > std::max(last_lease_end_, lease_in_flight_);
}

bool WorkerContact::HaveLeasesExpired(Time now) const {
  return IsFailing() && HaveLeasesEnded(now);
}

}  // namespace marjoramplank
