#ifndef FIREFLYSLIP_PROGRAM_WEIGHT_DISTRIBUTOR_H_
#define FIREFLYSLIP_PROGRAM_WEIGHT_DISTRIBUTOR_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "fireflyslip/distribution.h"
#include "fireflyslip/http.h"
#include "fireflyslip/link.h"
#include "fireflyslip/runtime.h"
#include "program/admin_server.h"
#include "program/chunk_cache.h"
#include "program/chunk_transfer.h"
#include "program/engine_client.h"
#include "program/fleet_snapshot.h"
#include "program/manifest_loader.h"
#include "program/process_context.h"

namespace fireflyslip {

/// \brief Downloads the chunks of the declared version into the staging memory
/// of the engine and serves them to peers. Used on the control thread.
class weight_distributor {
 public:
  struct callbacks {
    std::function<void(const vm_id& peer, link_message message)> send;
    /// Called when all chunks are staged, and again after each listing of the
    /// staging memory that is complete.
    std::function<void(const model_version& version)> on_complete;
  };

  weight_distributor(boost::asio::io_context& context,
                     timer_service& timers,
                     process_context& process,
                     engine_client& engine,
                     callbacks handlers);

  /// \brief Registers the handlers of `/chunks/` and `/manifests/`.
  void AddPaths(admin_server& admin);

  /// \brief Updates the target version and the peers of the model.
  void OnSnapshot(const fleet_snapshot& snapshot, const model_name& model);
  void OnPeerLost(const vm_id& peer);
  void OnAnnouncement(const vm_id& peer, const chunk_have_message& message);

  /// \brief Lists the chunks in the staging memory of the engine after a start
  /// of the agent or the engine. Nothing is fetched before the first answer.
  void ListStaging();

  /// \brief Returns the manifest text of a completely staged version, or null.
  const std::string* CompleteManifest(
      const orders::versioned_model& content) const;

  std::size_t staged_chunks() const { return fetcher_.core().staged().Count(); }
  std::size_t declared_chunks() const { return chunks_.size(); }

 private:
  using transfer_key = std::pair<digest, chunk_source>;
  struct received_counts {
    std::uint64_t origin_chunks = 0;
    std::uint64_t origin_bytes = 0;
    std::uint64_t peer_chunks = 0;
    std::uint64_t peer_bytes = 0;
  };

  void Apply(const chunk_fetcher_action& action);
  void OnManifest(const manifest_target& target,
                  const std::shared_ptr<const manifest>& content);
  void StartTransfer(const digest& chunk, const chunk_source& source);
  std::optional<http_endpoint> EndpointOf(const chunk_source& source) const;
  boost::asio::awaitable<void> Fetch(std::shared_ptr<chunk_transfer> transfer,
                                     chunk_source source);
  void ReportFailure(const digest& chunk,
                     const chunk_source& source,
                     const error& failure);
  void CountReceived(const chunk_source& source, std::size_t bytes);
  void OnComplete(const distribution_complete& complete);
  boost::asio::awaitable<void> StageChunk(const digest& chunk,
                                          const chunk_bytes& bytes);
  boost::asio::awaitable<void> ReadStagingList(std::uint64_t generation);
  boost::asio::awaitable<void> ServeChunk(http_request request,
                                          response_writer& writer);
  boost::asio::awaitable<result<chunk_bytes>> ReadForUpload(const digest& name);
  http_response ServeManifest(const http_request& request) const;
  void UpdateMembers(const fleet_snapshot& snapshot, const model_name& model);

  boost::asio::io_context& context_;
  process_context& process_;
  engine_client& engine_;
  callbacks handlers_;
  const transfer_limits limits_;
  http_client client_;
  chunk_cache cache_;
  manifest_loader manifests_;
  core_driver<chunk_fetcher<rarest_first_policy>> fetcher_;

  fleet_members peers_;  // Agents whose upstreams are declared for the model.
  std::optional<manifest_target> target_;
  bool staging_listed_ = false;
  std::uint64_t listing_generation_ = 0;  // Number of the latest listing.
  std::optional<manifest_target> fetch_target_;  // Target of the fetcher.
  std::map<digest, chunk_entry> chunks_;         // Chunks of `fetch_target_`.
  std::map<transfer_key, std::shared_ptr<chunk_transfer>> transfers_;
  /// Announcements that arrived before their manifest was read.
  std::map<vm_id, chunk_have_message> pending_announcements_;
  received_counts received_counts_;
  std::size_t active_uploads_ = 0;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_WEIGHT_DISTRIBUTOR_H_
