#ifndef FIREFLYSLIP_STANDINS_ORIGIN_STANDIN_H_
#define FIREFLYSLIP_STANDINS_ORIGIN_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "standins/http_server.h"
#include "standins/synthetic_model.h"

namespace fireflyslip::standins {

/// \brief Stand-in for the origin server of manifests and chunks.
class origin_standin : public http_handler {
 public:
  /// \brief The rate limit applies to all connections together; 0 disables it.
  explicit origin_standin(std::uint64_t bytes_per_second)
      : bytes_per_second_(bytes_per_second) {}

  /// \brief Adds a model and returns the digest of its manifest.
  std::string AddModel(model_description description);

  boost::asio::awaitable<void> Handle(const http_request& request,
                                      http_exchange& exchange) override;

 private:
  using model_ptr = std::shared_ptr<const synthetic_model>;

  boost::asio::awaitable<void> SendChunk(const std::string& name,
                                         http_exchange& exchange);
  boost::asio::awaitable<void> SendBytes(std::string bytes,
                                         std::string content_type,
                                         bool stall,
                                         http_exchange& exchange);
  http_response HandleControl(const http_request& request);

  std::map<std::string, model_ptr> manifests_;  // by "NAME/VERSION"
  std::map<std::string, std::pair<model_ptr, std::size_t>> chunks_;
  std::uint64_t bytes_per_second_;
  // Time at which the rate limiter admits the next slice.
  std::chrono::steady_clock::time_point link_available_at_;
  std::uint64_t corrupt_next_ = 0;
  std::uint64_t stall_next_ = 0;
  std::uint64_t bytes_sent_ = 0;
  std::uint64_t chunk_requests_ = 0;
  std::uint64_t manifest_requests_ = 0;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_ORIGIN_STANDIN_H_
