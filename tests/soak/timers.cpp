#include "timers.h"

namespace eelgrassloom::soak {

Instant now() { return platform::bootTime(); }

void runAfter(io_context &Loop, Duration D, std::function<void()> Run) {
  auto Timer = std::make_shared<platform::asio::steady_timer>(Loop, D);
  Timer->async_wait([Timer, Run = std::move(Run)](platform::error_code Error) {
    if (!Error)
      Run();
  });
}

} // namespace eelgrassloom::soak
