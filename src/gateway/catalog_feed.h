#ifndef FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_
#define FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "fireflyslip/catalog.h"
#include "fireflyslip/runtime.h"
#include "node/kind_watch.h"
#include "node/node_settings.h"
#include "node/relay_client.h"

namespace fireflyslip {

/// \brief Control plane of a gateway: learns configuration, upstreams and
/// target versions and reports changes.
///
/// Finds the catalog relays of its data centre in the platform's store, then
/// follows one of them, or the store while none has a current view.
class catalog_feed {
 public:
  struct handlers {
    std::function<void(std::shared_ptr<const deployment>)> on_deployment;
    std::function<void(std::shared_ptr<const upstream_map>)> on_upstreams;
    /// The version was not published before `published_at`. Called in the order
    /// of the versions, and for one that is only presumed to have been
    /// published if neither this process nor its relay can know.
    std::function<
        void(model_name, std::uint64_t version, time_point published_at)>
        on_target_version;
    /// The set of evacuated data centres was read or has changed. Called before
    /// `on_upstreams` if they may be evacuated.
    std::function<void(const evacuated_set&)> on_evacuations;
    /// The platform responded, or a relay with a current view of it.
    std::function<void()> on_platform_responded;
    /// All key revocations up to this time are known.
    std::function<void(time_point)> on_keys_confirmed;
  };

  catalog_feed(boost::asio::io_context& context,
               const node_settings& settings,
               handlers callbacks,
               std::uint64_t seed);

  /// \brief Starts watching the platform.
  void Start();

  /// \brief Whether configuration and upstreams are known.
  bool IsComplete() const {
    return deployment_ && upstreams_listed_ && evacuations_known_;
  }
  std::optional<time_point> keys_current_as_of() const {
    return keys_current_as_of_;
  }

 private:
  relay_client::handlers RelayHandlers();
  kind_watch::handlers ConfigurationHandlers();
  kind_watch::handlers UpstreamHandlers();
  kind_watch::handlers VersionHandlers();
  kind_watch::handlers EvacuationHandlers();
  void SetEvacuations(const evacuated_set& data_centres);
  /// \brief Looks for relays in a list of upstreams that may be seconds old.
  boost::asio::awaitable<void> FindRelays();
  /// \brief Reads the configuration until it has at least the announced
  /// version.
  boost::asio::awaitable<void> ReadConfiguration();
  /// \param may_ask_store whether the store is read if the relay fails.
  boost::asio::awaitable<bool> ReadConfigurationOnce(bool may_ask_store);
  boost::asio::awaitable<void> Sleep(duration length);
  void SetFollowingStore(bool following);
  boost::asio::awaitable<void> FollowConfigurationLater();
  void OnRelayAnswer(const relay_answer& answer, time_point query_sent);
  void ApplyConfigurationObject(const platform::store_object& object);
  void ApplyConfiguration(const nlohmann::json& content, std::string text);
  void ApplyUpstream(const upstream_change& change, bool unreadable);
  void ApplyTargetVersion(const platform::store_object& object);
  void ConfirmKeys(time_point current_as_of);
  /// \brief Confirms the keys as of the announcements that the configuration in
  /// force covers.
  void ConfirmAnnounced();
  void ApplyRelayedVersions(const model_name& model,
                            const std::vector<relayed_version>& relayed,
                            time_point sent_by_relay);
  /// \brief Reports a version if it is newer than those known.
  void SetTargetVersion(const model_name& model,
                        const version_publication& publication);
  void HandleUpstreams(const upstream_registry::event& event);

  boost::asio::io_context& context_;
  data_centre_id data_centre_;
  platform::store_client store_;
  handlers handlers_;
  random_source random_;
  timer_service timers_;
  core_driver<upstream_registry> registry_;
  core_driver<evacuation_registry> evacuations_;
  kind_watch configuration_watch_;
  kind_watch upstream_watch_;
  kind_watch version_watch_;
  kind_watch evacuation_watch_;
  relay_client relay_;
  std::shared_ptr<const deployment> deployment_;
  versioned_content configuration_;  // that `deployment_` was decoded from
  std::shared_ptr<const upstream_map> upstreams_;
  relay_query known_positions_;
  std::uint64_t announced_configuration_ = 0;  // newest version of a relay
  pending_confirmations pending_confirmations_;
  bool reading_configuration_ = false;
  bool follows_store_ = false;
  std::map<model_name, std::uint64_t> target_versions_;
  bool upstreams_listed_ = false;
  const bool follows_evacuations_;
  /// No upstreams are reported before.
  bool evacuations_known_;
  evacuated_set evacuated_;
  change_age version_age_;
  std::set<upstream_id> malformed_upstreams_;  // already logged
  std::optional<time_point> keys_current_as_of_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_
