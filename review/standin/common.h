/// \file
/// Clock, timers and the record of a run, shared by all stand-ins.

#ifndef REVIEW_STANDIN_COMMON_H
#define REVIEW_STANDIN_COMMON_H

#include <utility> // Boost.Asio 1.74 needs it in C++20.

#include <boost/asio.hpp>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// Milliseconds since the start of the run.
inline std::int64_t nowMs() {
  using namespace std::chrono;
  static const auto Start = steady_clock::now();
  return duration_cast<milliseconds>(steady_clock::now() - Start).count();
}

inline void after(asio::io_context &Loop, std::int64_t Ms,
                  std::function<void()> Run) {
  auto Timer =
      std::make_shared<asio::steady_timer>(Loop, std::chrono::milliseconds(Ms));
  Timer->async_wait([Timer, Run = std::move(Run)](error_code Error) {
    if (!Error)
      Run();
  });
}

/// The file record.txt: one line for each thing that was sent, answered or run.
class Record {
public:
  explicit Record(const std::string &Path)
      : File(std::fopen(Path.c_str(), "w")) {}
  ~Record() {
    if (File != nullptr)
      std::fclose(File);
  }
  Record(const Record &) = delete;
  Record &operator=(const Record &) = delete;

  bool open() const { return File != nullptr; }

  __attribute__((format(printf, 2, 3))) void line(const char *Format, ...) {
    std::fprintf(File, "%8.3f s  ", static_cast<double>(nowMs()) / 1000);
    va_list Arguments;
    va_start(Arguments, Format);
    std::vfprintf(File, Format, Arguments);
    va_end(Arguments);
    std::fputc('\n', File);
    std::fflush(File);
  }

private:
  std::FILE *File;
};

} // namespace review

#endif // REVIEW_STANDIN_COMMON_H
