#ifndef FIREFLYSLIP_STAGER_STAGER_H_
#define FIREFLYSLIP_STAGER_STAGER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/catalog.h"
#include "fireflyslip/http.h"
#include "fireflyslip/runtime.h"
#include "fireflyslip/staging.h"
#include "node/catalog_relay.h"
#include "node/kind_watch.h"
#include "node/node_settings.h"
#include "node/relay_client.h"
#include "platform/engine_client.h"
#include "platform/store_client.h"
#include "stager/chunk_server.h"
#include "stager/chunk_store.h"
#include "stager/load_publisher.h"

namespace fireflyslip {

/// \brief Agent of a model replica: stages and loads the weights of the target
/// version, reports the load of the replica and serves as catalog relay of its
/// data centre. Runs on one thread.
class stager {
 public:
  stager(boost::asio::io_context& context,
         const node_settings& settings,
         metrics& counters,
         std::uint64_t seed);

  /// \brief Starts serving peers and watching the platform; fails if an address
  /// cannot be bound.
  status Start();

 private:
  kind_watch::handlers VersionHandlers();
  relay_client::handlers RelayHandlers();
  void OnVersionObject(const platform::store_object& object);
  void SetNewestVersion(const model_name& model, std::uint64_t version);
  /// \brief Newest published version of the model of the replica.
  std::uint64_t newest_version() const;
  void OnReplicaLoad(const upstream_load& load);
  void Apply(const weight_stager::action& action);

  /// \brief Reads model and origin from the configuration, then runs
  /// `FollowTarget()`.
  boost::asio::awaitable<void> Run();
  boost::asio::awaitable<bool> ReadConfiguration();
  boost::asio::awaitable<bool> ReadStoredConfiguration();
  /// \brief Takes model and origin from a configuration; false if it has none.
  bool ApplyConfiguration(const nlohmann::json& content);
  boost::asio::awaitable<void> FollowTarget();
  /// \brief Time that the origin's link takes for one chunk; zero if unknown.
  duration OriginChunkTime() const;
  boost::asio::awaitable<bool> StartTarget(std::uint64_t version);
  boost::asio::awaitable<result<platform::weight_manifest>> ReadManifest(
      std::uint64_t version);
  /// \brief Reads the manifest from the origin or another agent.
  boost::asio::awaitable<result<platform::weight_manifest>> ReadManifestFrom(
      staging_source source,
      std::uint64_t version);
  boost::asio::awaitable<result<platform::weight_manifest>>
  ReadManifestFromPeer(std::string address, std::uint64_t version);
  /// \brief Reads the manifest once more from the source of a chunk that does
  /// not match its digest; stores the chunk if the digest was wrong.
  boost::asio::awaitable<bool> CorrectManifest(staging_source source,
                                               std::size_t chunk,
                                               std::string bytes);
  /// \brief Reads the peers if that is due.
  boost::asio::awaitable<void> RefreshPeers(bool fetching);
  boost::asio::awaitable<void> ReadPeerChanges();
  /// \brief Reads peers and relays from the store.
  boost::asio::awaitable<void> ListPeers();
  void SetPeers();
  /// \brief Reads a chunk that another agent sends.
  boost::asio::awaitable<result<std::string>> ReadBody(
      http_endpoint peer,
      std::shared_ptr<response_reader> reader);
  /// \brief Longest chunk, in bytes.
  std::size_t MaxChunkBytes() const;
  boost::asio::awaitable<void> Fetch(weight_stager::fetch order);
  /// \brief `weight_stager::Overdue()`; nothing if the version is not staged.
  std::optional<duration> Overdue(std::uint64_t version,
                                  std::size_t chunk) const;
  /// \brief Logs when the origin starts or ceases to fail.
  void RecordOriginAnswer(const result<std::string>& answer);
  boost::asio::awaitable<void> Stage(weight_stager::stage order);
  boost::asio::awaitable<void> Verify(weight_stager::verify order);
  boost::asio::awaitable<void> Load(weight_stager::load order);
  boost::asio::awaitable<void> Sleep(duration length);

  boost::asio::io_context& context_;
  const node_settings settings_;
  metrics& counters_;
  timer_service timers_;
  platform::store_client store_;
  platform::engine_client engine_;
  std::unique_ptr<platform::origin_client> origin_;
  http_client peer_client_;
  chunk_store chunks_;
  chunk_server chunk_server_;
  load_publisher publisher_;
  kind_watch version_watch_;
  catalog_relay relay_;
  relay_client relay_client_;
  random_source random_;
  const time_point started_at_;
  read_backoff configuration_backoff_;
  read_backoff list_backoff_;
  store_position versions_position_;
  peer_refresh peer_refresh_;
  upstream_map upstreams_;
  store_position upstreams_position_;  // revision 0 if all must be read
  core_driver<weight_stager> core_;
  region_id origin_region_;
  model_name model_;
  /// Published by operators. The list may arrive before the name of the model
  /// of the replica, so the versions of all models are kept.
  std::map<model_name, std::uint64_t> newest_versions_;
  bool versions_listed_ = false;
  std::optional<upstream_load> replica_load_;
  std::vector<staging_peer> peers_;
  double origin_link_mbps_ = 0;   // 0 if unknown
  std::size_t chunk_bytes_ = 0;   // 0 if unknown
  bool manifest_failed_ = false;  // result of the last read; limits logging
  bool origin_failed_ = false;    // the last request of a chunk there
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_STAGER_H_
