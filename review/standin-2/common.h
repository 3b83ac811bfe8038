/// \file
/// Clock, timers and the record of a case.

#ifndef REVIEW_COMMON_H
#define REVIEW_COMMON_H

#include <utility> // Boost 1.74 does not include it.

#include <boost/asio.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

namespace review {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;
using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Duration = Clock::duration;
using namespace std::chrono_literals;

inline Instant now() { return Clock::now(); }

/// Calls \p Run on the loop after the duration \p D.
void runAfter(asio::io_context &Loop, Duration D, std::function<void()> Run);

/// Opens record.txt in \p Directory. Times in it are seconds since this call.
void openRecord(const std::string &Directory);
/// Adds a line with the time to the record.
void record(const std::string &Line);
/// Seconds between the opening of the record and \p At.
double seconds(Instant At);
std::string secondsText(Instant At);

/// A port that is free on 127.0.0.1 now. Each call gives another one.
std::uint16_t freePort(asio::io_context &Loop);

} // namespace review

#endif // REVIEW_COMMON_H
