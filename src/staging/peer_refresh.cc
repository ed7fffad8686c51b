#include "fireflyslip/staging/peer_refresh.h"

#include <algorithm>

namespace fireflyslip {
namespace {

/// Spread of the intervals between reads from the store.
constexpr double kSpread = 0.25;

}  // namespace

std::optional<peer_refresh::source> peer_refresh::Next(bool fetching,
                                                       bool has_relay,
                                                       time_point now) {
  if (has_relay) {
    relay_lost_due_.reset();
    if (!fetching ||
        (last_read_ && now - *last_read_ < policy_.relay_interval)) {
      return std::nullopt;
    }
    last_read_ = now;
    return source::kRelay;
  }
  const bool due_after_loss = relay_lost_due_ && *relay_lost_due_ <= now;
  if (!due_after_loss && (!fetching || now < store_due_)) {
    return std::nullopt;
  }
  relay_lost_due_.reset();
  last_read_ = now;
  store_due_ =
      now + FromSeconds(ToSeconds(policy_.store_interval) * Jitter(kSpread));
  return source::kStore;
}

void peer_refresh::RecordRelayLost(time_point now) {
  constexpr double kLossSpread = 1.0 / 3;
  const double mean = ToSeconds(policy_.relay_loss_delay) / (1 + kLossSpread);
  relay_lost_due_ = now + FromSeconds(mean * Jitter(kLossSpread));
  store_due_ = std::max(store_due_, *relay_lost_due_);
}

void peer_refresh::RecordNoPeers(time_point now) {
  store_due_ =
      now + FromSeconds(ToSeconds(policy_.retry_interval) * Jitter(kSpread));
}

}  // namespace fireflyslip
