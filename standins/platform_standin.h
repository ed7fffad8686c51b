#ifndef FIREFLYSLIP_STANDINS_PLATFORM_STANDIN_H_
#define FIREFLYSLIP_STANDINS_PLATFORM_STANDIN_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "standins/async_condition.h"
#include "standins/http_server.h"

namespace fireflyslip::standins {

/// \brief Stand-in for the platform's object API and its list of VMs.
class platform_standin : public http_handler {
 public:
  /// \brief Creates or replaces an object unconditionally.
  void PutObject(const std::string& key, std::string body);

  /// \brief Replaces the VM list with a JSON array of VMs.
  void SetVms(const nlohmann::json& vms);

  boost::asio::awaitable<void> Handle(const http_request& request,
                                      http_exchange& exchange) override;

 private:
  enum class outage { kNone, kError, kSilent };

  struct object {
    std::uint64_t version = 0;  // 0 if the object does not exist
    std::string body;
  };

  boost::asio::awaitable<void> HandleControl(const http_request& request,
                                             http_exchange& exchange);
  boost::asio::awaitable<void> ChangeVm(
      std::string vm,
      nlohmann::json value,
      std::chrono::steady_clock::time_point publish_time);
  boost::asio::awaitable<bool> RespondIfOutage(http_exchange& exchange);
  boost::asio::awaitable<void> ReadObject(const http_request& request,
                                          std::string key,
                                          http_exchange& exchange);
  boost::asio::awaitable<void> WriteObject(const http_request& request,
                                           std::string key,
                                           http_exchange& exchange);
  boost::asio::awaitable<void> ListVms(const http_request& request,
                                       http_exchange& exchange);
  boost::asio::awaitable<void> SleepHalfDelay();
  object FindObject(const std::string& key) const;
  http_response ListObjects(const std::string& prefix) const;
  nlohmann::json ControlState() const;

  std::map<std::string, object> objects_;
  std::map<std::string, nlohmann::json> vms_;
  std::uint64_t vms_version_ = 1;
  std::chrono::steady_clock::time_point last_publish_time_;
  async_condition changed_;

  std::chrono::milliseconds delay_{0};
  std::chrono::milliseconds vm_list_lag_{0};
  outage outage_ = outage::kNone;
  std::uint64_t lose_answers_ = 0;
  std::uint64_t reads_ = 0;
  std::uint64_t writes_ = 0;
  std::uint64_t watches_ = 0;
};

}  // namespace fireflyslip::standins

#endif  // FIREFLYSLIP_STANDINS_PLATFORM_STANDIN_H_
