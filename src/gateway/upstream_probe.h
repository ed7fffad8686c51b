#ifndef FIREFLYSLIP_GATEWAY_UPSTREAM_PROBE_H_
#define FIREFLYSLIP_GATEWAY_UPSTREAM_PROBE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <set>

#include "fireflyslip/catalog.h"
#include "fireflyslip/retry.h"

namespace fireflyslip {

/// \brief Finds out whether an upstream still listens after a request to it was
/// interrupted: one that crashed refuses connections, one that only closed a
/// connection accepts them. Services without agents have no other sign in time,
/// as the platform lists a silent upstream for several heartbeats.
class upstream_probe {
 public:
  using observer = std::function<void(const upstream_entry&)>;

  /// \param on_lost called if the upstream does not listen.
  upstream_probe(boost::asio::io_context& context, observer on_lost)
      : context_(context), on_lost_(std::move(on_lost)) {}

  /// \brief Opens a connection, and one more a moment later, without a request.
  /// Does nothing while the same incarnation is being probed.
  void Start(const upstream_entry& upstream);

 private:
  boost::asio::awaitable<void> Run(upstream_entry upstream, crash_id key);

  boost::asio::io_context& context_;
  observer on_lost_;
  std::set<crash_id> running_;
};

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_GATEWAY_UPSTREAM_PROBE_H_
