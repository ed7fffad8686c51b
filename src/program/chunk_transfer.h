#ifndef FIREFLYSLIP_PROGRAM_CHUNK_TRANSFER_H_
#define FIREFLYSLIP_PROGRAM_CHUNK_TRANSFER_H_

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "fireflyslip/distribution.h"
#include "fireflyslip/http.h"

namespace fireflyslip {

/// \brief Download of one chunk from the origin or a peer.
class chunk_transfer {
 public:
  chunk_transfer(http_client& client, http_endpoint source, chunk_entry chunk);

  /// \brief Downloads the chunk and verifies its digest.
  ///
  /// Fails with `kNotFound` if the source does not have the chunk, with
  /// `kOverloaded` if the source is busy, with `kCorruptData` if the bytes do
  /// not match the digest, and with `kUpstreamFailed` or `kNoUpstream` if the
  /// transfer breaks or makes no progress.
  boost::asio::awaitable<result<std::string>> Run();

  /// \brief Closes the connection, which makes `Run()` fail.
  void Cancel();

  bool is_cancelled() const { return cancelled_; }
  const chunk_entry& chunk() const { return chunk_; }

 private:
  http_client& client_;
  http_endpoint source_;
  chunk_entry chunk_;
  std::shared_ptr<response_reader> reader_;
  bool cancelled_ = false;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_CHUNK_TRANSFER_H_
