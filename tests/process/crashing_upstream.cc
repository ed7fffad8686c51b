#include "process/crashing_upstream.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace fireflyslip::testing {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRunTime{20};
constexpr milliseconds kTimeUntilBack{1500};
/// The platform removes an entry some time after its last heartbeat.
constexpr milliseconds kEntryLifetime{2000};
constexpr milliseconds kBindInterval{20};

}  // namespace

void crash_record::AddArrival() {
  const std::scoped_lock lock(mutex_);
  arrivals_.push_back(clock::now());
}

void crash_record::AddCrash() {
  const std::scoped_lock lock(mutex_);
  crashes_.push_back(clock::now());
}

std::size_t crash_record::arrivals() const {
  const std::scoped_lock lock(mutex_);
  return arrivals_.size();
}

std::size_t crash_record::crashes() const {
  const std::scoped_lock lock(mutex_);
  return crashes_.size();
}

std::size_t crash_record::ArrivalsAfterThirdCrash(milliseconds delay) const {
  constexpr std::size_t kThird = 2;
  const std::scoped_lock lock(mutex_);
  if (crashes_.size() <= kThird) {
    return 0;
  }
  const clock::time_point end = crashes_[kThird] + delay;
  return static_cast<std::size_t>(
      std::count_if(arrivals_.begin(), arrivals_.end(),
                    [end](clock::time_point at) { return at > end; }));
}

crashing_upstream::crashing_upstream(std::string name,
                                     std::string service,
                                     bool streaming,
                                     gateway_fleet& fleet,
                                     crash_record& record)
    : name_(std::move(name)),
      service_(std::move(service)),
      streaming_(streaming),
      fleet_(fleet),
      record_(record),
      server_(std::make_unique<http_standin>(
          [this](standin_connection& connection) {
            return Serve(connection);
          })),
      supervisor_([this] { Supervise(); }) {}

crashing_upstream::~crashing_upstream() {
  {
    const std::scoped_lock lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  supervisor_.join();
}

void crashing_upstream::Crash() {
  const std::scoped_lock lock(mutex_);
  crashed_ = true;
  changed_.notify_all();
}

bool crashing_upstream::Serve(standin_connection& connection) {
  if (!connection.ReadBody()) {
    return false;
  }
  const std::string attempt = connection.Field("Attempt-Id");
  {
    const std::scoped_lock lock(mutex_);
    if (crashed_) {
      return false;
    }
    if (connection.Field("Expect-Instance") != Id(incarnation_)) {
      return connection.Write(FormatResponse(
          421, "", {{"Attempt-Id", attempt}, {"Not-Executed", "1"}}));
    }
  }
  const bool crashes =
      connection.received().body().find(kMarker) != std::string::npos;
  if (crashes) {
    record_.AddArrival();
  }
  std::this_thread::sleep_for(kRunTime);
  if (crashes) {
    Crash();
    return false;
  }
  std::map<std::string, std::string> fields{{"Attempt-Id", attempt},
                                            {"Response-Seal", "seal"}};
  if (streaming_) {
    fields["Content-Type"] = "text/event-stream";
  }
  return connection.Write(FormatResponse(
      200, streaming_ ? "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" : "run",
      fields));
}

void crashing_upstream::Supervise() {
  const std::uint16_t port = server_->port();
  for (;;) {
    fleet_.AddUpstream(Id(incarnation_), service_, port);
    // Both entries are listed for a while.
    const bool alone = incarnation_ == 0;
    bool crashed = !alone && AwaitCrash(kEntryLifetime - kTimeUntilBack);
    if (!alone) {
      fleet_.store().Remove("servers", Id(incarnation_ - 1));
    }
    while (!crashed && !IsStopping()) {
      crashed = AwaitCrash(kTimeUntilBack);
    }
    if (IsStopping()) {
      break;
    }
    record_.AddCrash();
    server_.reset();
    if (!Pause(kTimeUntilBack)) {
      break;
    }
    {
      const std::scoped_lock lock(mutex_);
      crashed_ = false;
      ++incarnation_;
    }
    // A connection of another process may use the port for a moment.
    while (!Listen(port) && Pause(kBindInterval)) {
    }
  }
}

bool crashing_upstream::AwaitCrash(milliseconds time) {
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, time, [this] { return crashed_ || stopping_; });
  return crashed_;
}

bool crashing_upstream::IsStopping() {
  const std::scoped_lock lock(mutex_);
  return stopping_;
}

bool crashing_upstream::Listen(std::uint16_t port) {
  try {
    server_ = std::make_unique<http_standin>(
        [this](standin_connection& connection) { return Serve(connection); },
        port);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

bool crashing_upstream::Pause(milliseconds time) {
  std::unique_lock lock(mutex_);
  return !changed_.wait_for(lock, time, [this] { return stopping_; });
}

std::string crashing_upstream::Id(int incarnation) const {
  return name_ + "-" + std::to_string(incarnation);
}

}  // namespace fireflyslip::testing
