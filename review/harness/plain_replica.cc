#include "plain_replica.h"

namespace review {

plain_replica::plain_replica(std::string id,
                             std::string service,
                             std::string address,
                             int port,
                             double work_time,
                             store& platform)
    : id_(std::move(id)),
      work_time_(work_time),
      server_(address,
              port,
              [this](connection& caller, const request& received) {
                return Serve(caller, received);
              }) {
  constexpr int kSlots = 16;
  platform.Put(
      "servers", id_,
      ReplicaEntry(service, address + ":" + std::to_string(port), kSlots));
}

int plain_replica::runs() {
  const std::lock_guard lock(mutex_);
  return static_cast<int>(runs_.size());
}

bool plain_replica::HasRun(const std::string& attempt_id) {
  const std::lock_guard lock(mutex_);
  return runs_.contains(attempt_id);
}

bool plain_replica::Serve(connection& caller, const request& received) {
  const std::string attempt = received.Field("Attempt-Id");
  if (received.Field("Expect-Instance") != id_) {
    return caller.Respond(421, "", {{"Instance-Id", id_}});
  }
  {
    const std::lock_guard lock(mutex_);
    runs_.insert(attempt);
  }
  Record("  " + id_ + " runs " + attempt);
  if (const double rate = flood_rate_.exchange(0); rate > 0) {
    return Flood(caller, attempt, rate);
  }
  Sleep(work_time_);
  return caller.Respond(
      200, std::string(800, 'a'),
      {{"Attempt-Id", attempt}, {"Response-Seal", "seal." + attempt}});
}

bool plain_replica::Flood(connection& caller,
                          const std::string& attempt,
                          double rate) {
  bool open = caller.Write("HTTP/1.1 200 OK\r\nAttempt-Id: " + attempt +
                           "\r\nResponse-Seal: seal." + attempt +
                           "\r\nTransfer-Encoding: chunked\r\n\r\n1;");
  const std::string part(65536, 'x');
  const double begin = Now();
  double sent = 0;
  while (open) {
    open = caller.Write(part);
    sent += static_cast<double>(part.size());
    if (const double ahead = sent / rate - (Now() - begin); ahead > 0) {
      Sleep(ahead);
    }
  }
  Record("  the caller of " + id_ + " closed after " +
         std::to_string(static_cast<int>(sent / 1e6)) + " MB in " +
         std::to_string(Now() - begin) + " s");
  return false;
}

}  // namespace review
