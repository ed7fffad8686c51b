#ifndef FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_
#define FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>

#include "fireflyslip/catalog.h"
#include "fireflyslip/runtime.h"
#include "node/kind_watch.h"
#include "node/node_settings.h"

namespace fireflyslip {

/// \brief Control plane of a gateway: watches configuration, upstreams and
/// target versions in the platform's store and reports changes.
class catalog_feed {
 public:
  struct handlers {
    std::function<void(std::shared_ptr<const deployment>)> on_deployment;
    std::function<void(std::shared_ptr<const upstream_map>)> on_upstreams;
    /// `at_start` is set for versions of the first listing, which may have been
    /// published before this process started.
    std::function<void(model_name, std::uint64_t version, bool at_start)>
        on_target_version;
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
  bool IsComplete() const { return deployment_ && upstreams_listed_; }
  std::optional<time_point> keys_current_as_of() const {
    return keys_current_as_of_;
  }

 private:
  kind_watch::handlers ConfigurationHandlers();
  kind_watch::handlers UpstreamHandlers();
  kind_watch::handlers VersionHandlers();
  void ApplyConfiguration(const platform::store_object& object);
  void ApplyTargetVersion(const platform::store_object& object, bool at_start);
  void HandleUpstreams(const upstream_registry::event& event);

  boost::asio::io_context& context_;
  handlers handlers_;
  timer_service timers_;
  core_driver<upstream_registry> registry_;
  kind_watch configuration_watch_;
  kind_watch upstream_watch_;
  kind_watch version_watch_;
  std::shared_ptr<const deployment> deployment_;
  bool upstreams_listed_ = false;
  bool versions_listed_ = false;
  std::set<upstream_id> malformed_upstreams_;  // already logged
  std::optional<time_point> keys_current_as_of_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_
