/// \file
/// How texts that others have chosen are written to log lines and terminals.

#ifndef EELGRASSLOOM_KERNEL_LOGTEXT_H
#define EELGRASSLOOM_KERNEL_LOGTEXT_H

#include <string>
#include <string_view>

namespace eelgrassloom {

/// Texts of log fields are truncated to this size.
inline constexpr std::size_t MaxLogTextBytes = 600;

/// Length in bytes of the UTF-8 character at the front of \p Text; 0 if there
/// is none.
std::size_t utf8Length(std::string_view Text);

bool isUtf8(std::string_view Text);

/// The text that a log field holds for \p Text: its first MaxLogTextBytes bytes
/// without a character that does not fit, and each byte that is not part of a
/// UTF-8 character as `\xHH`. Always valid UTF-8.
std::string logText(std::string_view Text);

/// Replaces control characters by `\xHH`, so that \p Text stays on one line of
/// a terminal.
std::string printable(std::string_view Text);

/// True if \p Wanted, a text as it arrived, or as a log line or eelgrassctl
/// shows it, is the one that is logged as \p Logged.
bool matchesLogged(std::string_view Wanted, std::string_view Logged);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_KERNEL_LOGTEXT_H
