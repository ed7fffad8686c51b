#ifndef FIREFLYSLIP_PROGRAM_OPERATOR_CLIENT_H_
#define FIREFLYSLIP_PROGRAM_OPERATOR_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fireflyslip/events.h"
#include "fireflyslip/http.h"
#include "fireflyslip/platform.h"
#include "program/fleet_snapshot.h"

namespace fireflyslip {

/// \brief Exit codes of the operator commands.
enum operator_exit : int {
  kExitOk = 0,
  kExitFailed = 1,
  kExitInvalid = 2,      ///< Invalid arguments or documents.
  kExitConflict = 3,     ///< Another update came first.
  kExitUnreachable = 4,  ///< The platform is unreachable.
  kExitNotInForce = 5,   ///< The update is not in force everywhere in time.
};

/// \brief Blocking client of the platform and of the admin ports of processes,
/// for operator commands.
class operator_client {
 public:
  explicit operator_client(http_endpoint platform);

  /// \brief Reads the configuration; empty if there is none. Fails with
  /// `kPlatformUnavailable`.
  result<std::optional<platform_object>> ReadConfiguration();

  /// \brief Writes the configuration like `object_client::Put()`.
  result<std::uint64_t> WriteConfiguration(std::uint64_t expected,
                                           const std::string& body);

  /// \brief Reads the members in the VM list.
  result<fleet_members> ListMembers();

  /// \brief Sends a GET request to all members concurrently and returns their
  /// responses.
  std::map<vm_id, result<std::string>> GetFromAll(const fleet_members& members,
                                                  const std::string& target);

  /// \brief Reads all event records of the members, page by page.
  std::map<vm_id, result<std::vector<event_record>>> ReadEvents(
      const fleet_members& members);

 private:
  template <typename T>
  T RunToCompletion(boost::asio::awaitable<T> call);
  boost::asio::awaitable<result<std::string>> Get(http_endpoint admin,
                                                  std::string target);
  boost::asio::awaitable<result<std::vector<event_record>>> ReadAllEvents(
      http_endpoint admin);

  boost::asio::io_context context_{1};
  http_client client_;
  object_client platform_;
};

/// \brief Reads a whole file. Returns nothing on failure.
std::optional<std::string> ReadFile(const std::string& name);

/// \brief Writes a message about a failed call to standard error and returns
/// the exit code for it.
int ReportFailure(const error& failure);

}  // namespace fireflyslip

#endif  // FIREFLYSLIP_PROGRAM_OPERATOR_CLIENT_H_
