#ifndef FIREFLYSLIP_NODE_RELAY_MESSAGE_H_
#define FIREFLYSLIP_NODE_RELAY_MESSAGE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/catalog/evacuation_registry.h"
#include "fireflyslip/catalog/store_position.h"
#include "fireflyslip/catalog/upstream_history.h"
#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/time.h"

namespace fireflyslip {

/// \brief Poll of a catalog relay: the store positions up to which the sender
/// knows each kind; empty for kinds that it does not need, revision 0 if
/// nothing is known.
struct relay_query {
  std::optional<store_position> configuration;
  std::optional<store_position> upstreams;
  std::optional<store_position> versions;
  duration hold = {};  ///< Time to wait for changes.
  /// Of the sender, for the list of relays; empty if that of the relay is
  /// meant.
  data_centre_id data_centre;
  /// Whether the query states eras; older senders know only revisions. An era
  /// that is not stated is 0.
  bool states_eras = true;
  std::optional<store_position> evacuations = {};

  auto operator<=>(const relay_query&) const = default;
};

/// \brief Newest version of the configuration, without its content.
struct relayed_configuration {
  store_position position;
  std::uint64_t version = 0;
  /// Time since the relay's view was current, when the answer was sent.
  duration age = {};

  auto operator<=>(const relayed_configuration&) const = default;
};

/// \brief Published version of a model.
struct relayed_version {
  std::uint64_t version = 0;
  /// Upper bound of the time since its publication, when the answer was sent.
  duration age = {};

  auto operator<=>(const relayed_version&) const = default;
};

/// \brief Published model versions.
struct relayed_versions {
  store_position position;
  /// Time since the relay's view was current, when the answer was sent.
  duration age = {};
  /// Recent publications of each model, oldest first. An older relay states the
  /// newest only.
  std::map<model_name, std::vector<relayed_version>> versions;

  auto operator<=>(const relayed_versions&) const = default;
};

/// \brief All evacuated data centres.
struct relayed_evacuations {
  store_position position;
  evacuated_set data_centres;

  bool operator==(const relayed_evacuations&) const = default;
};

/// \brief End of an outage of the store, as the relay saw it.
struct relayed_outage {
  duration length = {};
  duration ended_for = {};  ///< Time since its end.

  auto operator<=>(const relayed_outage&) const = default;
};

/// \brief Answer to a poll; contains the kinds that the query names. The era of
/// an older relay, which states none, is 0.
struct relay_answer {
  bool fresh = false;  ///< Whether the view of all kinds is current.
  duration held = {};  ///< Time between query and answer at the relay.
  std::optional<relayed_outage> outage;  ///< A recent one.
  std::optional<relayed_configuration> configuration;
  std::optional<upstream_changes> upstreams;
  std::optional<relayed_versions> versions;
  /// IP addresses of the relays for the data centre in order of preference, for
  /// processes that do not follow the upstreams.
  std::vector<std::string> relays;
  /// Empty from a relay that does not know the kind.
  std::optional<relayed_evacuations> evacuations;

  bool operator==(const relay_answer&) const = default;
};

/// \brief Whether the sender of the query knows a newer era than the relay.
bool IsOfOlderEra(const relay_answer& answer, const relay_query& query);

/// \brief Path and query of the HTTP request of a poll.
std::string RelayTarget(const relay_query& query);
/// \brief Parses `RelayTarget()`; empty if it is malformed.
std::optional<relay_query> ParseRelayTarget(std::string_view target);

/// \brief Encodes an answer as compressed CBOR.
std::string EncodeRelayAnswer(const relay_answer& answer);
/// \brief Decodes an answer; empty if it is malformed.
std::optional<relay_answer> DecodeRelayAnswer(std::string_view bytes);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_NODE_RELAY_MESSAGE_H_
