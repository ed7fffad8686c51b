#include "process/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <system_error>

namespace fireflyslip::testing {

child_process::child_process(const std::vector<std::string>& command,
                             const std::string& log_file) {
  std::vector<char*> arguments;
  arguments.reserve(command.size() + 1);
  for (const std::string& argument : command) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int code = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                               arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (code != 0) {
    throw std::system_error(code, std::generic_category(), command[0]);
  }
}

child_process::~child_process() {
  Kill();
}

void child_process::Signal(int number) {
  if (IsRunning()) {
    kill(pid_, number);
  }
}

bool child_process::IsRunning() {
  Reap(WNOHANG);
  return !exit_code_;
}

int child_process::Wait() {
  Reap(0);
  return *exit_code_;
}

void child_process::Kill() {
  Signal(SIGKILL);
  Wait();
}

void child_process::Reap(int options) {
  int state = 0;
  pid_t ended = 0;
  while (!exit_code_) {
    ended = waitpid(pid_, &state, options);
    if (ended == pid_) {
      exit_code_ = WIFSIGNALED(state) ? -WTERMSIG(state) : WEXITSTATUS(state);
    } else if (ended == 0 || errno != EINTR) {
      return;
    }
  }
}

}  // namespace fireflyslip::testing
