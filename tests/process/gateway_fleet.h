#ifndef FIREFLYSLIP_TESTS_PROCESS_GATEWAY_FLEET_H_
#define FIREFLYSLIP_TESTS_PROCESS_GATEWAY_FLEET_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "process/blocking_client.h"
#include "process/child_process.h"
#include "process/http_standin.h"

namespace fireflyslip::testing {

/// \brief Stand-in for the platform's store: lists and watches of objects.
class store_standin {
 public:
  store_standin();

  std::uint16_t port() const { return server_.port(); }
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct event {
    std::string kind;
    std::uint64_t revision = 0;
    nlohmann::json content;
  };

  bool Serve(standin_connection& connection);
  nlohmann::json List(const std::string& kind);
  nlohmann::json Watch(const std::string& kind,
                       std::uint64_t since,
                       int wait_ms);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::uint64_t revision_ = 1;
  std::map<std::string, std::map<std::string, nlohmann::json>> objects_;
  std::vector<event> events_;
  http_standin server_;
};

/// \brief Route of a configuration. Its service has the name of the prefix
/// without the slashes.
struct gateway_route {
  std::string prefix;
  std::string type;
  int max_attempts = 1;
};

/// \brief Gateways on loopback addresses before stand-ins of the platform's
/// store and of upstreams that follow the protocol of the platform.
class gateway_fleet {
 public:
  /// \brief Starts gateways and waits until they are ready. The folder of the
  /// fleet has their logs; it is kept after a failure.
  gateway_fleet(std::size_t gateways, const std::vector<gateway_route>& routes);
  ~gateway_fleet();
  gateway_fleet(const gateway_fleet&) = delete;
  gateway_fleet& operator=(const gateway_fleet&) = delete;

  store_standin& store() { return store_; }
  /// \brief Lists an upstream that listens on a port of the loopback address.
  void AddUpstream(const std::string& id,
                   const std::string& service,
                   std::uint16_t port);

  /// \brief Sends a request on a new connection.
  http_answer Send(std::size_t index,
                   const std::string& attempt,
                   const std::string& target,
                   const std::string& body = "");

 private:
  struct gateway_ports {
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
  };

  nlohmann::json Settings(std::size_t index) const;
  void Start(std::size_t index);
  void WaitUntilReady(std::size_t index) const;
  std::string File(std::size_t index, const std::string& suffix) const;

  std::filesystem::path folder_;
  store_standin store_;
  std::uint16_t internal_port_ = 0;  // first of a range
  std::vector<gateway_ports> ports_;
  std::vector<std::unique_ptr<child_process>> processes_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_GATEWAY_FLEET_H_
