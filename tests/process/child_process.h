#ifndef FIREFLYSLIP_TESTS_PROCESS_CHILD_PROCESS_H_
#define FIREFLYSLIP_TESTS_PROCESS_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace fireflyslip::testing {

/// \brief A child process, which is signalled by its process id only.
///
/// Standard output and standard error are appended to a log file.
class child_process {
 public:
  /// \brief Starts a program. Throws `std::system_error` on failure.
  child_process(const std::vector<std::string>& command,
                const std::string& log_file);
  /// \brief Kills the program if it still runs.
  ~child_process();

  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  /// \brief Sends a signal, unless the program has exited.
  void Signal(int number);

  bool IsRunning();

  /// \brief Waits until the program has exited. Returns the exit code, or -N if
  /// the program was terminated by signal N.
  int Wait();

  /// \brief Kills the program and waits until it has exited.
  void Kill();

 private:
  void Reap(int options);

  pid_t pid_ = 0;
  std::optional<int> exit_code_;
};

}  // namespace fireflyslip::testing

#endif  // FIREFLYSLIP_TESTS_PROCESS_CHILD_PROCESS_H_
