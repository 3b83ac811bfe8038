/// \file
/// Makes texts that a caller or a database chose safe to print: they can't
/// start another line, control a terminal or look like another field.

#ifndef EELGRASSLOOM_RUNTIME_ESCAPE_H
#define EELGRASSLOOM_RUNTIME_ESCAPE_H

#include <string>
#include <string_view>

namespace eelgrassloom {

/// The text with each byte that is not part of a printable UTF-8 character
/// replaced by \n, \r, \t or \xHH. Escaping a text again changes nothing.
std::string escapeText(std::string_view Text);

/// Like escapeText; blanks are replaced too, for a value of a list of
/// KEY=VALUE fields that are separated by blanks.
std::string escapeWord(std::string_view Text);

} // namespace eelgrassloom

#endif // EELGRASSLOOM_RUNTIME_ESCAPE_H
