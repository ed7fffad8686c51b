#ifndef FIREFLYSLIP_CONFIGURATION_CONFIGURATION_RELAY_H_
#define FIREFLYSLIP_CONFIGURATION_CONFIGURATION_RELAY_H_

#include <algorithm>
#include <concepts>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/configuration/relay_messages.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/rendezvous.h"
#include "fireflyslip/core/result.h"

namespace fireflyslip {

/// \brief Decides whether the body of a configuration is valid.
template <typename T>
concept configuration_validator = requires(const T& validate,
                                           std::string_view body) {
  { validate(body) } -> std::same_as<status>;
};

/// \brief Bounds and intervals of a `configuration_relay`.
struct relay_options {
  std::size_t watchers = 2;  ///< For each data centre.
  duration watch_wait = seconds(10);
  /// A read or watch without any result counts as failed after this time beyond
  /// its wait.
  duration platform_timeout = seconds(5);
  /// Spread of the first reads, so that a restarted fleet does not read at
  /// once.
  duration startup_jitter = milliseconds(500);
  /// After a start, answers of peers are collected until the platform answered
  /// or failed, at most for this time; then the highest one is used.
  duration start_hold = seconds(2);
  duration initial_retry_delay = milliseconds(200);
  duration max_retry_delay = seconds(5);
  /// Least time between the starts of two watches; bounds the calls if the
  /// platform answers watches at once without progress.
  duration min_watch_interval = milliseconds(100);
  /// A process that is no watcher asks the platform this often, in case all
  /// watchers of its data centre failed unnoticed.
  duration poll_interval = seconds(60);
  duration request_timeout = seconds(2);
  /// A body is requested from another data centre only after this time, as long
  /// as the own watchers usually need; others than watchers wait twice as long.
  duration remote_request_delay = seconds(2);

  auto operator<=>(const relay_options&) const = default;
};

/// \brief Keeps one process at the newest configuration that it can learn of.
///
/// Some processes of each data centre watch the platform. All others request
/// the body from one peer whose heartbeat names a higher revision, so that each
/// change costs a process one body. The revision in use never decreases.
template <configuration_validator Validator>
class configuration_relay {
 public:
  using event = configuration_relay_event;
  using action = configuration_relay_action;

  configuration_relay(relay_options options,
                      vm_id self,
                      data_centre_id data_centre,
                      random_source random,
                      Validator validator)
      : options_(options),
        self_(std::move(self)),
        data_centre_(std::move(data_centre)),
        random_(random),
        validator_(std::move(validator)) {}

  std::vector<action> Handle(const event& event, time_point now) {
    actions_.clear();
    std::visit([&](const auto& e) { On(e, now); }, event);
    Advance(now);
    return std::exchange(actions_, {});
  }

  /// \brief Time at which a read, watch, request or timeout is due.
  std::optional<time_point> NextDeadline() const {
    if (!started_) {
      return std::nullopt;
    }
    time_point deadline =
        platform_busy_ ? platform_deadline_ : NextPlatformStart();
    if (publish_due_) {
      deadline = std::min(deadline, hold_until_);
    }
    if (requested_.has_value()) {
      deadline = std::min(deadline, request_deadline_);
    } else {
      for (const auto& [vm, peer] : peers_) {
        if (peer.revision > revision_) {
          deadline = std::min(deadline, RequestTime(peer));
        }
      }
    }
    return deadline;
  }

  /// \brief The highest revision whose body is known; 0 before the first. It is
  /// in use, unless the process has just started and still collects answers.
  revision_number revision() const { return revision_; }

  /// \brief Whether this process watches the platform. A process without peers
  /// in its data centre does so, too.
  bool IsWatcher() const { return chosen_ || local_peers_ == 0; }

 private:
  struct peer_state {
    data_centre_id data_centre;
    revision_number revision = 0;
    time_point ahead_since;  // valid while the peer has a higher revision
    time_point avoid_until;  // after a failed request
  };

  void On(const tick&, time_point now) {
    if (platform_busy_ && now >= platform_deadline_) {
      FailPlatform(now);
    }
    if (requested_.has_value() && now >= request_deadline_) {
      AvoidRequested(now);
    }
  }

  void On(const relay_event::started&, time_point now) {
    started_ = true;
    read_wanted_ = true;
    hold_until_ = now + options_.start_hold;
    next_platform_ = now + Spread(options_.startup_jitter);
    next_poll_ = next_platform_;
  }

  void On(const relay_event::platform_answered& e, time_point now) {
    read_wanted_ = false;
    if (Consider(std::nullopt, e.revision, e.body, now)) {
      CompletePlatform(now);
    } else {
      // The object may have been damaged on its way, so it is fetched again,
      // with growing delays.
      FailPlatform(now);
    }
  }

  void On(const relay_event::platform_failed&, time_point now) {
    FailPlatform(now);
  }

  void On(const relay_event::watch_returned&, time_point now) {
    CompletePlatform(now);
  }

  void On(const relay_event::peer_connected& e, time_point now) {
    Forget(e.vm);
    peers_[e.vm].data_centre = e.data_centre;
    local_peers_ += e.data_centre == data_centre_ ? 1 : 0;
    Learn(e.vm, e.revision, now);
  }

  void On(const relay_event::peer_heartbeat& e, time_point now) {
    Learn(e.vm, e.revision, now);
  }

  void On(const relay_event::peer_configuration& e, time_point now) {
    const bool matches = digest::Of(e.body) == e.body_digest;
    const bool accepted =
        matches ? Consider(e.vm, e.revision, e.body, now)
                : Reject(e.vm, e.revision, "the digest does not match");
    if (requested_ == e.vm) {
      if (accepted) {
        requested_.reset();
      } else {
        AvoidRequested(now);
      }
    }
  }

  void On(const relay_event::peer_request& e, time_point) {
    if (revision_ > e.revision) {
      actions_.push_back(relay_action::send_configuration{e.vm, revision_,
                                                          body_, body_digest_});
    }
  }

  void On(const relay_event::peer_lost& e, time_point) { Forget(e.vm); }

  void On(const relay_event::members_changed& e, time_point) {
    std::vector<vm_id> candidates = {self_};
    for (const relay_member& member : e.members) {
      if (member.data_centre == data_centre_ && member.vm != self_) {
        candidates.push_back(member.vm);
      }
    }
    const std::vector<vm_id> order = RendezvousOrder(
        "configuration-watch/" + data_centre_.value(), std::move(candidates));
    const auto place = std::find(order.begin(), order.end(), self_);
    chosen_ =
        static_cast<std::size_t>(place - order.begin()) < options_.watchers;
  }

  // Adopts a configuration if it is newer and valid. Returns false if its
  // sender should be avoided.
  bool Consider(const std::optional<vm_id>& sender,
                revision_number revision,
                const std::string& body,
                time_point now) {
    if (revision <= revision_) {
      // An answer that does not advance is useless only if it was requested
      // because the peer claimed a higher revision.
      return !sender.has_value() || !IsAhead(*sender);
    }
    const status valid = validator_(std::string_view(body));
    if (!IsOk(valid)) {
      return Reject(sender, revision, ErrorOf(valid).detail);
    }
    revision_ = revision;
    body_ = body;
    body_digest_ = digest::Of(body);
    if (sender.has_value()) {
      Learn(*sender, revision, now);
    }
    publish_due_ = true;
    return true;
  }

  bool Reject(const std::optional<vm_id>& sender,
              revision_number revision,
              std::string reason) {
    actions_.push_back(
        relay_action::report_rejected{sender, revision, std::move(reason)});
    return false;
  }

  void Learn(const vm_id& vm, revision_number revision, time_point now) {
    const auto found = peers_.find(vm);
    if (found == peers_.end()) {
      return;
    }
    peer_state& peer = found->second;
    if (peer.revision <= revision_ && revision > revision_) {
      peer.ahead_since = now;
    }
    peer.revision = revision;
  }

  bool IsAhead(const vm_id& vm) const {
    const auto found = peers_.find(vm);
    return found != peers_.end() && found->second.revision > revision_;
  }

  void Forget(const vm_id& vm) {
    const auto found = peers_.find(vm);
    if (found == peers_.end()) {
      return;
    }
    local_peers_ -= found->second.data_centre == data_centre_ ? 1 : 0;
    peers_.erase(found);
    if (requested_ == vm) {
      requested_.reset();
    }
  }

  void AvoidRequested(time_point now) {
    const auto found = peers_.find(*requested_);
    if (found != peers_.end()) {
      found->second.avoid_until = now + Jittered(options_.max_retry_delay);
    }
    requested_.reset();
  }

  void CompletePlatform(time_point now) {
    platform_busy_ = false;
    platform_failures_ = 0;
    read_wanted_ = false;
    hold_until_ = std::min(hold_until_, now);
    next_platform_ = std::max(now, last_start_ + options_.min_watch_interval);
    next_poll_ = now + Jittered(options_.poll_interval);
  }

  void FailPlatform(time_point now) {
    platform_busy_ = false;
    hold_until_ = std::min(hold_until_, now);
    duration delay = options_.initial_retry_delay;
    for (int i = 0; i < platform_failures_ && delay < options_.max_retry_delay;
         ++i) {
      delay *= 2;
    }
    ++platform_failures_;
    next_platform_ = now + Jittered(std::min(delay, options_.max_retry_delay));
    next_poll_ = now + Jittered(options_.poll_interval);
  }

  time_point NextPlatformStart() const {
    return read_wanted_ || IsWatcher() ? next_platform_
                                       : std::max(next_platform_, next_poll_);
  }

  time_point RequestTime(const peer_state& peer) const {
    if (peer.data_centre == data_centre_) {
      return peer.avoid_until;
    }
    const duration delay =
        options_.remote_request_delay * (IsWatcher() ? 1 : 2);
    return std::max(peer.avoid_until, peer.ahead_since + delay);
  }

  void Advance(time_point now) {
    if (!started_) {
      return;
    }
    if (publish_due_ && now >= hold_until_) {
      publish_due_ = false;
      actions_.push_back(relay_action::publish{revision_, body_});
    }
    if (!platform_busy_ && now >= NextPlatformStart()) {
      StartPlatform(now);
    }
    if (!requested_.has_value()) {
      Request(now);
    }
  }

  void StartPlatform(time_point now) {
    platform_busy_ = true;
    last_start_ = now;
    platform_deadline_ = now + options_.platform_timeout;
    if (read_wanted_) {
      actions_.push_back(relay_action::read_platform{});
      return;
    }
    const duration wait = IsWatcher() ? options_.watch_wait : duration(0);
    platform_deadline_ += wait;
    actions_.push_back(relay_action::watch_platform{revision_, wait});
  }

  // Requests the body from a peer with a higher revision: from the own data
  // centre if possible, and there from a random one to spread the load.
  void Request(time_point now) {
    std::vector<const vm_id*> local;
    std::vector<const vm_id*> remote;
    for (const auto& [vm, peer] : peers_) {
      if (peer.revision > revision_ && now >= RequestTime(peer)) {
        (peer.data_centre == data_centre_ ? local : remote).push_back(&vm);
      }
    }
    const auto& choice = local.empty() ? remote : local;
    if (choice.empty()) {
      return;
    }
    requested_ = *choice[random_.Below(choice.size())];
    request_deadline_ = now + options_.request_timeout;
    actions_.push_back(
        relay_action::request_configuration{*requested_, revision_});
  }

  duration Spread(duration bound) {
    return FromSeconds(ToSeconds(bound) * random_.Fraction());
  }

  // Between half and the whole of a delay.
  duration Jittered(duration delay) { return delay / 2 + Spread(delay / 2); }

  relay_options options_;
  vm_id self_;
  data_centre_id data_centre_;
  random_source random_;
  Validator validator_;
  std::vector<action> actions_;

  revision_number revision_ = 0;
  std::string body_;
  digest body_digest_;

  bool started_ = false;
  bool publish_due_ = false;
  time_point hold_until_;
  bool chosen_ = false;
  bool read_wanted_ = false;
  bool platform_busy_ = false;
  int platform_failures_ = 0;
  time_point platform_deadline_;
  time_point next_platform_;
  time_point next_poll_;
  time_point last_start_;

  std::map<vm_id, peer_state> peers_;
  std::size_t local_peers_ = 0;
  std::optional<vm_id> requested_;
  time_point request_deadline_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONFIGURATION_CONFIGURATION_RELAY_H_
