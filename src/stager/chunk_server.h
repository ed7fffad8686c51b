#ifndef FIREFLYSLIP_STAGER_CHUNK_SERVER_H_
#define FIREFLYSLIP_STAGER_CHUNK_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fireflyslip/http.h"
#include "fireflyslip/staging/link_pacer.h"
#include "stager/chunk_store.h"

namespace fireflyslip {

/// \brief Target under which agents serve a chunk to each other.
/// \param waits whether the call is kept until the chunk is there.
std::string ChunkTarget(std::uint64_t version, std::size_t index, bool waits);

/// \brief Path under which agents serve the digests of a version.
std::string ManifestPath(std::uint64_t version);

/// \brief Parses the digests that are served under `ManifestPath()`.
std::optional<std::vector<digest>> ParseManifestText(std::string_view text);

/// \brief Serves chunks to the agents of other VMs. A request for a chunk that
/// is still on its way waits a little for it. The status is 404 if the chunk is
/// not there, and 503 if the link is taken for too long.
class chunk_server {
 public:
  /// \param bytes_per_second highest rate of all chunks together.
  chunk_server(boost::asio::io_context& context,
               const chunk_store& chunks,
               double bytes_per_second);

  result<unsigned short> Listen(const http_endpoint& endpoint);

  /// \brief Wakes the requests that wait for a chunk.
  void NotifyChanged(std::size_t chunk);
  /// \brief Wakes all requests: another version is distributed.
  void NotifyAllChanged();

 private:
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);
  /// \brief Waits until the link is free for so many bytes; false if that
  /// takes too long, so that the peer had better ask another one.
  boost::asio::awaitable<bool> Pace(std::size_t bytes);

  boost::asio::io_context& context_;
  const chunk_store& chunks_;
  std::multimap<std::size_t, boost::asio::steady_timer*> waiting_;
  link_pacer pacer_;
  http_server server_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_CHUNK_SERVER_H_
