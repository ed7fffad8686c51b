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

/// \brief Control calls to the model engine beside the agent: staging, orders
/// and state.
///
/// Calls fail with `kUpstreamFailed` or `kNoUpstream` if the engine does not
/// answer as specified. Arguments must outlive the calls.
class engine_client {
 public:
  engine_client(boost::asio::io_context& context, http_endpoint engine);

  /// \brief What the engine serves; empty names if nothing is loaded.
  boost::asio::awaitable<result<orders::versioned_model>> State();

  /// \brief Digests of the chunks in the staging memory.
  boost::asio::awaitable<result<std::vector<digest>>> ListChunks();

  /// \brief A chunk from the staging memory; `kNotFound` if it is not there.
  boost::asio::awaitable<result<std::string>> ReadChunk(const digest& name);

  /// \brief Puts a chunk into the staging memory.
  boost::asio::awaitable<status> Stage(const digest& name,
                                       const chunk_bytes& bytes);

  /// \brief Sends a load order with the text of the manifest. The connection
  /// is closed before the order expires.
  boost::asio::awaitable<orders::order_answered> Load(
      const orders::send_order& order,
      const std::string& manifest);

 private:
  http_client client_;
  http_endpoint engine_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_ENGINE_CLIENT_H_
