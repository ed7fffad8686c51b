#ifndef FIREFLYSLIP_STAGER_CHUNK_SERVER_H_
#define FIREFLYSLIP_STAGER_CHUNK_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/http.h"
#include "fireflyslip/staging/link_pacer.h"
#include "stager/chunk_store.h"

namespace fireflyslip {

/// \brief Request target of a chunk at another stager.
/// \param blocking whether the server waits until the chunk is available.
std::string ChunkTarget(std::uint64_t version,
                        std::size_t index,
                        bool blocking);

/// Field of an answer without the chunk: milliseconds since the chunk has been
/// due at the origin, as in `weight_stager::Overdue()`.
inline constexpr char kOverdueField[] = "x-chunk-overdue-ms";

/// Field of a request: the model that the peer wants. Older agents do not send
/// it.
inline constexpr char kModelField[] = "x-chunk-model";

/// \brief Parses the value of `kOverdueField`; nothing if it is missing.
std::optional<duration> ParseOverdue(std::string_view value);

/// \brief Request path of the manifest of a version at another stager.
std::string ManifestPath(std::uint64_t version);

/// \brief Parses the digests served under `ManifestPath()`.
std::optional<std::vector<digest>> ParseManifestText(std::string_view text);

/// \brief Serves chunks to the stagers of other VMs. A blocking request for a
/// chunk that is not available yet waits for it for a limited time. The status
/// is 404 if the chunk is not available, and 503 if the network link is busy
/// for too long. A request for the manifest of a version that is not being
/// staged yet waits for it as well. Requests for another model are answered
/// with 404: a peer may still list this VM for a service that has left it.
class chunk_server {
 public:
  /// Returns `weight_stager::Overdue()` for a chunk of a version; nothing if
  /// the version is not being staged.
  using overdue_query =
      std::function<std::optional<duration>(std::uint64_t version,
                                            std::size_t index)>;

  /// \param model of the chunks; empty until it is known.
  /// \param bytes_per_second maximum total rate of all chunks.
  chunk_server(boost::asio::io_context& context,
               const chunk_store& chunks,
               const model_name& model,
               double bytes_per_second,
               overdue_query overdue);

  result<unsigned short> Listen(const http_endpoint& endpoint);

  /// \brief Wakes the requests that wait for a chunk.
  void NotifyAvailable(std::size_t chunk);
  /// \brief Wakes all waiting requests, because the version has changed.
  void NotifyVersionChanged();

 private:
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);
  /// \brief Waits until the version is being staged, for a limited time.
  boost::asio::awaitable<void> AwaitVersion(std::uint64_t version);
  /// \brief Waits until the link has capacity for the bytes. Returns false if
  /// that takes too long, so that the peer can request the chunk elsewhere.
  boost::asio::awaitable<bool> Pace(std::size_t bytes);

  boost::asio::io_context& context_;
  const chunk_store& chunks_;
  const model_name& model_;
  overdue_query overdue_;
  std::multimap<std::size_t, boost::asio::steady_timer*> waiters_;
  std::set<boost::asio::steady_timer*> version_waiters_;
  link_pacer pacer_;
  http_server server_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_CHUNK_SERVER_H_
