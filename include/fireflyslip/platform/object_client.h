#ifndef FIREFLYSLIP_PLATFORM_OBJECT_CLIENT_H_
#define FIREFLYSLIP_PLATFORM_OBJECT_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/core/ids.h"
#include "fireflyslip/core/result.h"
#include "fireflyslip/core/time.h"
#include "fireflyslip/http/http_client.h"

namespace fireflyslip {

/// \brief A stored value of the platform with its version.
struct platform_object {
  std::uint64_t version = 0;
  std::string body;

  auto operator<=>(const platform_object&) const = default;
};

/// \brief Client of the platform's object API and VM list.
///
/// Calls fail with `kPlatformUnavailable` if they had no effect and with
/// `kOutcomeUnknown` if a write may have taken effect.
class object_client {
 public:
  object_client(boost::asio::io_context& context, http_endpoint platform);

  /// \brief Reads an object; returns nothing if it does not exist.
  boost::asio::awaitable<result<std::optional<platform_object>>> Get(
      std::string key);

  /// \brief Writes an object if its version is `expected` (0: if it does not
  /// exist) and returns the new version. Fails with `kConflict` if it is not.
  boost::asio::awaitable<result<std::uint64_t>> Put(std::string key,
                                                    std::uint64_t expected,
                                                    std::string body);

  /// \brief Waits up to `wait` for a version above `since`; returns nothing on
  /// timeout.
  boost::asio::awaitable<result<std::optional<platform_object>>>
  Watch(std::string key, std::uint64_t since, duration wait);

  /// \brief Reads the VM list as JSON text with its revision; waits up to
  /// `wait` for a revision above `since`.
  boost::asio::awaitable<result<std::optional<platform_object>>> WatchVms(
      std::uint64_t since,
      duration wait);

 private:
  boost::asio::awaitable<result<std::optional<platform_object>>> Read(
      std::string target,
      duration timeout);

  http_client client_;
  http_endpoint platform_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PLATFORM_OBJECT_CLIENT_H_
