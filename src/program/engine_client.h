#ifndef FIREFLYSLIP_PROGRAM_ENGINE_CLIENT_H_
#define FIREFLYSLIP_PROGRAM_ENGINE_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <vector>

#include "fireflyslip/core.h"
#include "fireflyslip/http.h"
#include "fireflyslip/orders.h"
#include "program/chunk_cache.h"

namespace fireflyslip {

/// \brief Client of the control interface of the model engine on the same VM:
/// staging, orders and state.
///
/// Calls fail with `kUpstreamFailed` or `kNoUpstream` if the engine does not
/// send a valid response. Arguments must outlive the calls.
class engine_client {
 public:
  engine_client(boost::asio::io_context& context, http_endpoint engine);

  /// \brief Reads the model and version that the engine serves; the names are
  /// empty if none is loaded.
  boost::asio::awaitable<result<orders::versioned_model>> ReadState();

  /// \brief Lists the digests of the chunks in the staging memory.
  boost::asio::awaitable<result<std::vector<digest>>> ListChunks();

  /// \brief Reads a chunk from the staging memory. Fails with `kNotFound` if it
  /// is not staged.
  boost::asio::awaitable<result<std::string>> ReadChunk(const digest& name);

  /// \brief Writes a chunk to the staging memory.
  boost::asio::awaitable<status> StageChunk(const digest& name,
                                            const chunk_bytes& bytes);

  /// \brief Sends a load order with the text of the manifest. The connection
  /// is closed before the order expires.
  boost::asio::awaitable<orders::order_answered> Load(
      const orders::send_order& order,
      const std::string& manifest);

 private:
  http_client client_;
  http_client order_client_;
  http_endpoint engine_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENGINE_CLIENT_H_
