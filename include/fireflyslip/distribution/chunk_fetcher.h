#ifndef FIREFLYSLIP_DISTRIBUTION_CHUNK_FETCHER_H_
#define FIREFLYSLIP_DISTRIBUTION_CHUNK_FETCHER_H_

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "fireflyslip/core/decision_core.h"
#include "fireflyslip/core/digest.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/random_source.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/distribution/chunk_bitmap.h"
#include "fireflyslip/distribution/chunk_selection_policy.h"
#include "fireflyslip/distribution/manifest.h"
#include "fireflyslip/distribution/transfer_limits.h"

namespace fireflyslip {

/// \brief A live agent that serves the model or downloads it.
struct fetch_member {
  vm_id vm;
  data_centre_id data_centre;
  region_id region;

  auto operator<=>(const fetch_member&) const = default;
};

/// \brief Source of a transfer: a peer, or the origin if `peer` is absent.
struct chunk_source {
  std::optional<vm_id> peer;

  auto operator<=>(const chunk_source&) const = default;
};

/// \brief A model version was declared. It supersedes the previous one; chunks
/// that both versions contain are kept.
struct target_changed {
  model_name model;
  model_version version;
  std::shared_ptr<const manifest> content;  ///< Must not be null.

  bool operator==(const target_changed&) const = default;
};

/// \brief The complete list of live agents that serve or download the model.
struct fetch_members_changed {
  std::vector<fetch_member> members;

  bool operator==(const fetch_members_changed&) const = default;
};

/// \brief A peer announced its chunks (link message `chunk_have`).
struct peer_announcement {
  vm_id vm;
  digest manifest_name;
  chunk_bitmap chunks;

  bool operator==(const peer_announcement&) const = default;
};

/// \brief The link to a peer was lost. The peer may still be a member.
struct peer_lost {
  vm_id vm;

  bool operator==(const peer_lost&) const = default;
};

enum class chunk_check { kOk, kCorrupt, kNotFound };

/// \brief A transfer completed and the caller verified the digest of its bytes.
struct chunk_received {
  digest chunk;
  chunk_source source;
  chunk_check check = chunk_check::kOk;

  bool operator==(const chunk_received&) const = default;
};

enum class transfer_failure { kTimeout, kRefused };

/// \brief A transfer stalled, broke off, or was refused with HTTP status 503.
struct transfer_failed {
  digest chunk;
  chunk_source source;
  transfer_failure reason = transfer_failure::kTimeout;

  bool operator==(const transfer_failed&) const = default;
};

/// \brief The engine stored a chunk in its staging memory.
struct chunk_staged {
  digest chunk;

  bool operator==(const chunk_staged&) const = default;
};

/// \brief Inventory of the engine's staging memory after a restart of the agent
/// or of the engine. Replaces the previous inventory.
struct staging_listed {
  std::vector<digest> chunks;

  bool operator==(const staging_listed&) const = default;
};

struct fetch_from_origin {
  digest chunk;

  auto operator<=>(const fetch_from_origin&) const = default;
};

struct fetch_from_peer {
  digest chunk;
  vm_id vm;

  auto operator<=>(const fetch_from_peer&) const = default;
};

/// \brief Cancel a transfer. No event for it may follow.
struct cancel_fetch {
  digest chunk;
  chunk_source source;

  auto operator<=>(const cancel_fetch&) const = default;
};

/// \brief Send the own chunk bitmap to a peer (link message `chunk_have`).
struct announce_chunks {
  vm_id vm;
  digest manifest_name;
  chunk_bitmap chunks;

  bool operator==(const announce_chunks&) const = default;
};

/// \brief All chunks of the version are staged.
struct distribution_complete {
  model_name model;
  model_version version;

  auto operator<=>(const distribution_complete&) const = default;
};

using chunk_fetcher_event = std::variant<target_changed,
                                         fetch_members_changed,
                                         peer_announcement,
                                         peer_lost,
                                         chunk_received,
                                         transfer_failed,
                                         chunk_staged,
                                         staging_listed,
                                         tick>;
using chunk_fetcher_action = std::variant<fetch_from_origin,
                                          fetch_from_peer,
                                          cancel_fetch,
                                          announce_chunks,
                                          distribution_complete>;

struct chunk_fetcher_settings {
  fetch_member self;
  /// Region of the origin. If empty, the lexicographically smallest region of
  /// the member list.
  region_id origin_region;
  transfer_limits limits;
};

namespace internal {

/// \brief Type-erased selection policy, so that the implementation is compiled
/// once instead of for each policy.
class chunk_selector {
 public:
  chunk_selector() = default;
  chunk_selector(const chunk_selector&) = delete;
  chunk_selector& operator=(const chunk_selector&) = delete;
  virtual ~chunk_selector() = default;
  virtual std::size_t Select(std::span<const chunk_candidate> candidates,
                             random_source& random) const = 0;
};

class chunk_fetcher_state;

/// \brief Policy-independent part of `chunk_fetcher`.
class chunk_fetcher_base {
 public:
  chunk_fetcher_base(chunk_fetcher_settings settings, std::uint64_t seed);
  chunk_fetcher_base(chunk_fetcher_base&& other) noexcept;
  chunk_fetcher_base& operator=(chunk_fetcher_base&& other) noexcept;
  chunk_fetcher_base(const chunk_fetcher_base&) = delete;
  chunk_fetcher_base& operator=(const chunk_fetcher_base&) = delete;
  ~chunk_fetcher_base();

  std::vector<chunk_fetcher_action> Handle(const chunk_fetcher_event& event,
                                           time_point now,
                                           const chunk_selector& selector);
  std::optional<time_point> NextDeadline() const;
  bool IsComplete() const;
  const chunk_bitmap& staged() const;

 private:
  std::unique_ptr<chunk_fetcher_state> state_;
};

}  // namespace internal

/// \brief Decision core that selects the next chunk to fetch and its source.
///
/// In each data centre, rendezvous hashing designates one agent as the fetcher
/// of a chunk. The fetcher imports the chunk into the data centre: from the
/// origin, or from another data centre that has the chunk if its own data
/// centre is not among those that download this chunk from the origin. All
/// other agents download from peers of their data centre in the order of the
/// policy.
template <chunk_selection_policy Policy>
class chunk_fetcher {
 public:
  using event = chunk_fetcher_event;
  using action = chunk_fetcher_action;

  chunk_fetcher(chunk_fetcher_settings settings,
                std::uint64_t seed,
                Policy policy = {})
      : policy_(std::move(policy)), base_(std::move(settings), seed) {}

  std::vector<action> Handle(const event& event, time_point now) {
    return base_.Handle(event, now, policy_selector(policy_));
  }
  std::optional<time_point> NextDeadline() const {
    return base_.NextDeadline();
  }

  /// \brief Whether all chunks of the target version are staged.
  bool IsComplete() const { return base_.IsComplete(); }

  /// \brief Staged chunks of the target version; empty if none is declared.
  const chunk_bitmap& staged() const { return base_.staged(); }

 private:
  class policy_selector : public internal::chunk_selector {
   public:
    explicit policy_selector(const Policy& policy) : policy_(policy) {}
    std::size_t Select(std::span<const chunk_candidate> candidates,
                       random_source& random) const override {
      return policy_.Select(candidates, random);
    }

   private:
    const Policy& policy_;
  };

  Policy policy_;
  internal::chunk_fetcher_base base_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_DISTRIBUTION_CHUNK_FETCHER_H_
