#include "proxyprocess.h"
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace eelgrassloom::hostile {

ProxyProcess::ProxyProcess(std::string Program, const ProcessPorts &Ports)
    : Ports(Ports), Directory(std::filesystem::temp_directory_path() /
                              ("hostile-" + std::to_string(getpid()))) {
  std::filesystem::create_directories(Directory);
  std::string Ip = "127.0.0.1:";
  auto Address = [&](std::uint16_t Port) { return Ip + std::to_string(Port); };
  std::filesystem::path Settings = Directory / "p.conf";
  std::ofstream(Settings)
      << "node=p\nzone=z\nip=127.0.0.1\nlisten.front=" << Address(Ports.Caller)
      << "\nlisten.ready=" << Address(Ports.Ready)
      << "\nportRange=" << Ports.Peer
      << ",0\nplatform.addr=" << Address(Ports.Store)
      << "\ncloud.addr=" << Address(Ports.Store)
      << "\nbounds.graceS=4\nbounds.configApplyMs=3000\nlimits.memoryMb="
      << MemoryMb << "\nlimits.maxFds=" << MaxDescriptors << "\n";
  std::string Setting = "EELGRASSLOOM_SETTINGS=" + Settings.string();
  std::array<char *, 2> Argv = {Program.data(), nullptr};
  std::array<char *, 2> Envp = {Setting.data(), nullptr};
  std::string Log = (Directory / "p.log").string();
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (posix_spawn(&Pid, Program.c_str(), &Actions, nullptr, Argv.data(),
                  Envp.data()) != 0) {
    std::perror("posix_spawn");
    std::exit(2);
  }
  posix_spawn_file_actions_destroy(&Actions);
}

ProxyProcess::~ProxyProcess() {
  if (Pid != 0) {
    kill(Pid, SIGKILL);
    waitpid(Pid, nullptr, 0);
  }
  std::filesystem::remove_all(Directory);
}

bool ProxyProcess::alive() {
  if (Pid != 0 && waitpid(Pid, nullptr, WNOHANG) == Pid)
    Pid = 0;
  return Pid != 0;
}

std::size_t ProxyProcess::peakBytes() const {
  constexpr std::size_t BytesPerKb = 1024;
  std::ifstream Status("/proc/" + std::to_string(Pid) + "/status");
  std::string Word;
  while (Status >> Word)
    if (Word == "VmHWM:") {
      std::size_t Kb = 0;
      Status >> Kb;
      return Kb * BytesPerKb;
    }
  return 0;
}

std::size_t ProxyProcess::unreadBytes() const {
  std::ifstream Table("/proc/net/tcp");
  std::string Line;
  std::getline(Table, Line);
  std::array<char, 8> Port{};
  std::snprintf(Port.data(), Port.size(), ":%04X", Ports.Caller);
  std::size_t Bytes = 0;
  while (std::getline(Table, Line)) {
    std::istringstream Fields(Line);
    std::string Index;
    std::string Local;
    std::string Remote;
    std::string State;
    std::string Queues;
    Fields >> Index >> Local >> Remote >> State >> Queues;
    // For a listening socket (0A) the column counts connections.
    if (Local.ends_with(Port.data()) && State != "0A")
      Bytes += std::strtoul(Queues.c_str() + Queues.find(':') + 1, nullptr, 16);
  }
  return Bytes;
}

std::size_t ProxyProcess::descriptors() const {
  std::error_code Ignored; // No entries if the process has ended.
  std::size_t Count = 0;
  for (auto It = std::filesystem::directory_iterator(
           "/proc/" + std::to_string(Pid) + "/fd", Ignored);
       It != std::filesystem::directory_iterator(); ++It)
    ++Count;
  return Count;
}

} // namespace eelgrassloom::hostile
