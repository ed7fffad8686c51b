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

/// \brief Validates the body of a configuration.
template <typename T>
concept configuration_validator = requires(const T& validate,
                                           std::string_view body) {
  { validate(body) } -> std::same_as<status>;
};

/// \brief Limits and intervals of a `configuration_relay`.
struct relay_options {
  std::size_t watchers = 2;  ///< Number of watchers per data centre.
  duration watch_wait = seconds(10);
  /// A read or watch that has not returned this long after its wait ended
  /// counts as failed.
  duration platform_timeout = seconds(5);
  /// Upper bound of the random delay before the first read, so that the
  /// processes of a restarted fleet do not all read at the same time.
  duration startup_jitter = milliseconds(500);
  /// After startup, configurations from peers are collected until the platform
  /// has responded or failed, at most for this time; then the highest revision
  /// is used.
  duration start_hold = seconds(2);
  duration initial_retry_delay = milliseconds(200);
  duration max_retry_delay = seconds(5);
  /// Minimum interval between the starts of two watches; bounds the call rate
  /// if the platform returns from watches immediately without a newer version.
  duration min_watch_interval = milliseconds(100);
  /// Interval at which a process that is not a watcher polls the platform, in
  /// case all watchers of its data centre failed undetected.
  duration poll_interval = seconds(60);
  duration request_timeout = seconds(2);
  /// Delay before a body is requested from another data centre. It is the time
  /// that the local watchers usually need; processes that are not watchers wait
  /// twice as long.
  duration remote_request_delay = seconds(2);

  auto operator<=>(const relay_options&) const = default;
};

/// \brief Keeps a process on the newest configuration that it can obtain.
///
/// Some processes of each data centre watch the platform. All others request
/// the body from one peer whose heartbeat announces a higher revision, so that
/// each process transfers the body once per change. The revision in use never
/// decreases.
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
    RunDueActions(now);
    return std::exchange(actions_, {});
  }

  /// \brief Returns the time at which the next read, watch, request or timeout
  /// is due.
  std::optional<time_point> NextDeadline() const {
    if (!started_) {
      return std::nullopt;
    }
    time_point deadline =
        platform_call_pending_ ? platform_deadline_ : NextPlatformCall();
    if (publish_pending_) {
      deadline = std::min(deadline, hold_until_);
    }
    if (requested_peer_.has_value()) {
      deadline = std::min(deadline, request_deadline_);
    } else {
      for (const auto& [vm, peer] : peers_) {
        if (peer.revision > revision_) {
          deadline = std::min(deadline, RequestDue(peer));
        }
      }
    }
    return deadline;
  }

  /// \brief Returns the highest revision whose body is known; 0 before the
  /// first. It is in use unless the process is still collecting configurations
  /// after startup.
  revision_number revision() const { return revision_; }

  /// \brief Whether this process watches the platform. This includes a process
  /// without peers in its data centre.
  bool IsWatcher() const { return is_selected_watcher_ || local_peers_ == 0; }

 private:
  struct peer_state {
    data_centre_id data_centre;
    revision_number revision = 0;
    time_point ahead_since;  // valid while the peer has a higher revision
    time_point retry_after;  // backoff after a failed request
  };

  void On(const tick&, time_point now) {
    if (platform_call_pending_ && now >= platform_deadline_) {
      HandlePlatformFailure(now);
    }
    if (requested_peer_.has_value() && now >= request_deadline_) {
      BackOffRequestedPeer(now);
    }
  }

  void On(const relay_event::started&, time_point now) {
    started_ = true;
    read_required_ = true;
    hold_until_ = now + options_.start_hold;
    next_platform_call_ = now + RandomDuration(options_.startup_jitter);
    next_poll_ = next_platform_call_;
  }

  void On(const relay_event::platform_answered& e, time_point now) {
    read_required_ = false;
    if (TryAdopt(std::nullopt, e.revision, e.body, now)) {
      HandlePlatformSuccess(now);
    } else {
      // The object may have been corrupted in transit, so it is read again with
      // exponential backoff.
      HandlePlatformFailure(now);
    }
  }

  void On(const relay_event::platform_failed&, time_point now) {
    HandlePlatformFailure(now);
  }

  void On(const relay_event::watch_returned&, time_point now) {
    HandlePlatformSuccess(now);
  }

  void On(const relay_event::peer_connected& e, time_point now) {
    RemovePeer(e.vm);
    peers_[e.vm].data_centre = e.data_centre;
    local_peers_ += e.data_centre == data_centre_ ? 1 : 0;
    UpdatePeerRevision(e.vm, e.revision, now);
  }

  void On(const relay_event::peer_heartbeat& e, time_point now) {
    UpdatePeerRevision(e.vm, e.revision, now);
  }

  void On(const relay_event::peer_configuration& e, time_point now) {
    const bool matches = digest::Of(e.body) == e.body_digest;
    const bool accepted =
        matches ? TryAdopt(e.vm, e.revision, e.body, now)
                : Reject(e.vm, e.revision, "the digest does not match");
    if (requested_peer_ == e.vm) {
      if (accepted) {
        requested_peer_.reset();
      } else {
        BackOffRequestedPeer(now);
      }
    }
  }

  void On(const relay_event::peer_request& e, time_point) {
    if (revision_ > e.revision) {
      actions_.push_back(relay_action::send_configuration{e.vm, revision_,
                                                          body_, body_digest_});
    }
  }

  void On(const relay_event::peer_lost& e, time_point) { RemovePeer(e.vm); }

  void On(const relay_event::members_changed& e, time_point) {
    std::vector<vm_id> candidates = {self_};
    for (const relay_member& member : e.members) {
      if (member.data_centre == data_centre_ && member.vm != self_) {
        candidates.push_back(member.vm);
      }
    }
    const std::vector<vm_id> order = RendezvousOrder(
        "configuration-watch/" + data_centre_.value(), std::move(candidates));
    const auto position = std::find(order.begin(), order.end(), self_);
    is_selected_watcher_ =
        static_cast<std::size_t>(position - order.begin()) < options_.watchers;
  }

  // Adopts a configuration if it is newer and valid. Returns false if no
  // further requests should be sent to its sender for now.
  bool TryAdopt(const std::optional<vm_id>& sender,
                revision_number revision,
                const std::string& body,
                time_point now) {
    if (revision <= revision_) {
      // A revision that is not newer is an error of the peer only if the peer
      // announced a higher one.
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
      UpdatePeerRevision(*sender, revision, now);
    }
    publish_pending_ = true;
    return true;
  }

  bool Reject(const std::optional<vm_id>& sender,
              revision_number revision,
              std::string reason) {
    actions_.push_back(
        relay_action::report_rejected{sender, revision, std::move(reason)});
    return false;
  }

  void UpdatePeerRevision(const vm_id& vm,
                          revision_number revision,
                          time_point now) {
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

  void RemovePeer(const vm_id& vm) {
    const auto found = peers_.find(vm);
    if (found == peers_.end()) {
      return;
    }
    local_peers_ -= found->second.data_centre == data_centre_ ? 1 : 0;
    peers_.erase(found);
    if (requested_peer_ == vm) {
      requested_peer_.reset();
    }
  }

  void BackOffRequestedPeer(time_point now) {
    const auto found = peers_.find(*requested_peer_);
    if (found != peers_.end()) {
      found->second.retry_after = now + WithJitter(options_.max_retry_delay);
    }
    requested_peer_.reset();
  }

  void HandlePlatformSuccess(time_point now) {
    platform_call_pending_ = false;
    platform_failures_ = 0;
    read_required_ = false;
    hold_until_ = std::min(hold_until_, now);
    next_platform_call_ =
        std::max(now, last_platform_call_ + options_.min_watch_interval);
    next_poll_ = now + WithJitter(options_.poll_interval);
  }

  void HandlePlatformFailure(time_point now) {
    platform_call_pending_ = false;
    hold_until_ = std::min(hold_until_, now);
    duration delay = options_.initial_retry_delay;
    for (int i = 0; i < platform_failures_ && delay < options_.max_retry_delay;
         ++i) {
      delay *= 2;
    }
    ++platform_failures_;
    next_platform_call_ =
        now + WithJitter(std::min(delay, options_.max_retry_delay));
    next_poll_ = now + WithJitter(options_.poll_interval);
  }

  time_point NextPlatformCall() const {
    return read_required_ || IsWatcher()
               ? next_platform_call_
               : std::max(next_platform_call_, next_poll_);
  }

  time_point RequestDue(const peer_state& peer) const {
    if (peer.data_centre == data_centre_) {
      return peer.retry_after;
    }
    const duration delay =
        options_.remote_request_delay * (IsWatcher() ? 1 : 2);
    return std::max(peer.retry_after, peer.ahead_since + delay);
  }

  void RunDueActions(time_point now) {
    if (!started_) {
      return;
    }
    if (publish_pending_ && now >= hold_until_) {
      publish_pending_ = false;
      actions_.push_back(relay_action::publish{revision_, body_});
    }
    if (!platform_call_pending_ && now >= NextPlatformCall()) {
      StartPlatformCall(now);
    }
    if (!requested_peer_.has_value()) {
      RequestFromPeer(now);
    }
  }

  void StartPlatformCall(time_point now) {
    platform_call_pending_ = true;
    last_platform_call_ = now;
    platform_deadline_ = now + options_.platform_timeout;
    if (read_required_) {
      actions_.push_back(relay_action::read_platform{});
      return;
    }
    const duration wait = IsWatcher() ? options_.watch_wait : duration(0);
    platform_deadline_ += wait;
    actions_.push_back(relay_action::watch_platform{revision_, wait});
  }

  // Requests the body from a random peer with a higher revision, to balance the
  // load; peers in the local data centre take precedence.
  void RequestFromPeer(time_point now) {
    std::vector<const vm_id*> local;
    std::vector<const vm_id*> remote;
    for (const auto& [vm, peer] : peers_) {
      if (peer.revision > revision_ && now >= RequestDue(peer)) {
        (peer.data_centre == data_centre_ ? local : remote).push_back(&vm);
      }
    }
    const auto& choice = local.empty() ? remote : local;
    if (choice.empty()) {
      return;
    }
    requested_peer_ = *choice[random_.Below(choice.size())];
    request_deadline_ = now + options_.request_timeout;
    actions_.push_back(
        relay_action::request_configuration{*requested_peer_, revision_});
  }

  duration RandomDuration(duration bound) {
    return FromSeconds(ToSeconds(bound) * random_.Fraction());
  }

  // Returns a random duration between half the delay and the full delay.
  duration WithJitter(duration delay) {
    return delay / 2 + RandomDuration(delay / 2);
  }

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
  bool publish_pending_ = false;
  time_point hold_until_;
  bool is_selected_watcher_ = false;
  bool read_required_ = false;
  bool platform_call_pending_ = false;
  int platform_failures_ = 0;
  time_point platform_deadline_;
  time_point next_platform_call_;
  time_point next_poll_;
  time_point last_platform_call_;

  std::map<vm_id, peer_state> peers_;
  std::size_t local_peers_ = 0;
  std::optional<vm_id> requested_peer_;
  time_point request_deadline_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_CONFIGURATION_CONFIGURATION_RELAY_H_
