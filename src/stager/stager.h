#ifndef FIREFLYSLIP_STAGER_STAGER_H_
#define FIREFLYSLIP_STAGER_STAGER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/runtime.h"
#include "fireflyslip/staging.h"
#include "node/kind_watch.h"
#include "node/node_settings.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"
#include "stager/chunk_server.h"
#include "stager/chunk_store.h"
#include "stager/load_publisher.h"

namespace fireflyslip {

/// \brief Agent beside a model replica: brings named weights to it and reports
/// its load. Runs on one thread.
class stager {
 public:
  stager(boost::asio::io_context& context,
         const node_settings& settings,
         metrics& counters,
         std::uint64_t seed);

  /// \brief Starts to serve and to follow the platform; fails if an address
  /// cannot be bound.
  status Start();

 private:
  kind_watch::handlers VersionHandlers();
  void OnNamed(const platform::store_object& object);
  void OnLoad(const upstream_load& load);
  void Apply(const weight_stager::action& action);

  /// \brief Finds model and origin in the configuration, then follows targets.
  boost::asio::awaitable<void> Prepare();
  boost::asio::awaitable<bool> ReadConfiguration();
  boost::asio::awaitable<void> FollowTarget();
  boost::asio::awaitable<bool> BeginTarget(std::uint64_t version);
  boost::asio::awaitable<result<platform::weight_manifest>>
  ReadManifestFromPeers(std::uint64_t version);
  boost::asio::awaitable<void> RefreshPeers();
  static boost::asio::awaitable<result<std::string>> ReadBody(
      std::shared_ptr<response_reader> reader);
  boost::asio::awaitable<void> Fetch(weight_stager::fetch order);
  boost::asio::awaitable<void> Stage(weight_stager::stage order);
  boost::asio::awaitable<void> Verify();
  boost::asio::awaitable<void> Load();
  boost::asio::awaitable<void> Pause(duration length);

  boost::asio::io_context& context_;
  const node_settings settings_;
  metrics& counters_;
  timer_service timers_;
  platform::store_client store_;
  platform::engine_client engine_;
  std::unique_ptr<platform::origin_client> origin_;
  http_client peers_;
  chunk_store chunks_;
  chunk_server chunk_server_;
  load_publisher publisher_;
  kind_watch versions_;
  core_driver<weight_stager> core_;
  region_id origin_region_;
  model_name model_;
  std::uint64_t named_ = 0;  // newest version that operators named
  bool versions_known_ = false;
  std::optional<upstream_load> load_;
  std::vector<std::string> known_peers_;  // addresses
  bool manifest_failed_ = false;          // the last attempt to read one
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_STAGER_H_
