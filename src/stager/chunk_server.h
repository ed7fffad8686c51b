#ifndef FIREFLYSLIP_STAGER_CHUNK_SERVER_H_
#define FIREFLYSLIP_STAGER_CHUNK_SERVER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>

#include "fireflyslip/http.h"
#include "stager/chunk_store.h"

namespace fireflyslip {

/// \brief Path under which agents serve a chunk to each other.
std::string ChunkPath(std::uint64_t version, std::size_t index);

/// \brief Serves chunks to the agents of other VMs. A request for a chunk that
/// is still on its way waits a little for it.
class chunk_server {
 public:
  chunk_server(boost::asio::io_context& context, const chunk_store& chunks);

  result<unsigned short> Listen(const http_endpoint& endpoint);

 private:
  boost::asio::awaitable<void> Serve(http_request request,
                                     response_writer& writer);

  boost::asio::io_context& context_;
  const chunk_store& chunks_;
  http_server server_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_STAGER_CHUNK_SERVER_H_
