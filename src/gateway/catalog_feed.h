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

/// \brief Control part of a gateway: follows configuration, upstreams and named
/// versions at the platform and hands on what changes.
class catalog_feed {
 public:
  struct handlers {
    std::function<void(std::shared_ptr<const deployment>)> on_deployment;
    std::function<void(std::shared_ptr<const upstream_map>)> on_upstreams;
    std::function<void(model_name, std::uint64_t version, bool at_start)>
        on_version;
    /// All revocations of keys up to this moment are known.
    std::function<void(time_point)> on_keys_confirmed;
  };

  catalog_feed(boost::asio::io_context& context,
               const node_settings& settings,
               handlers on,
               std::uint64_t seed);

  /// \brief Starts to follow the platform.
  void Start();

  /// \brief Whether configuration and upstreams are known.
  bool IsComplete() const { return deployment_ && upstreams_known_; }
  std::optional<time_point> keys_known_until() const { return keys_known_; }

 private:
  kind_watch::handlers ConfigurationHandlers();
  kind_watch::handlers UpstreamHandlers();
  kind_watch::handlers VersionHandlers();
  void ReadConfiguration(const platform::store_object& object);
  void ReadVersion(const platform::store_object& object, bool at_start);
  void HandleUpstreams(const upstream_registry::event& event);

  boost::asio::io_context& context_;
  handlers on_;
  timer_service timers_;
  core_driver<upstream_registry> registry_;
  kind_watch configurations_;
  kind_watch upstreams_;
  kind_watch versions_;
  std::shared_ptr<const deployment> deployment_;
  bool upstreams_known_ = false;
  bool versions_known_ = false;
  std::set<upstream_id> unreadable_;  // entries that were logged
  std::optional<time_point> keys_known_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_CATALOG_FEED_H_
