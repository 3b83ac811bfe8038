#include "engine/events.h"
#include "kernel/logtext.h"
#include <algorithm>
#include <cstdio>

namespace eelgrassloom {
namespace detail {

/// While the buffer is larger than this, new lines are dropped.
constexpr std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
constexpr std::int64_t MillisPerSecond = 1000;
/// True for a character that a JSON text holds as it is.
bool isPlain(char C) { return C >= ' ' && C < 0x7f && C != '"' && C != '\\'; }

void appendCharacter(std::string &Out, char C) {
  auto Code = static_cast<unsigned char>(C);
  if (C == '"' || C == '\\') {
    Out += '\\';
    Out += C;
  } else if (Code < 0x20 || Code == 0x7f) {
    std::array<char, 8> Escape{};
    std::snprintf(Escape.data(), Escape.size(), "\\u%04x",
                  static_cast<unsigned>(Code));
    Out += Escape.data();
  } else {
    Out += C;
  }
}

void appendEscaped(std::string &Out, std::string_view Text) {
  Out += '"';
  if (Text.size() <= MaxLogTextBytes &&
      std::all_of(Text.begin(), Text.end(), isPlain))
    Out += Text;
  else
    for (char C : logText(Text))
      appendCharacter(Out, C);
  Out += '"';
}

} // namespace detail

bool EventWriter::admit(std::size_t Kind, std::int64_t Now) {
  if (Now / detail::MillisPerSecond != Second) {
    Second = Now / detail::MillisPerSecond;
    Used = {};
    std::uint64_t DroppedLines = Dropped;
    Dropped = 0;
    if (DroppedLines != 0)
      append(EngineEvent::LinesDropped, Now, {{"lines", DroppedLines}});
  }
  return Used[Kind]++ < EngineEventKinds[Kind].LinesPerSecond &&
         Buffer.size() < detail::MaxBufferedBytes;
}

void EventWriter::append(EngineEvent Event, std::int64_t Now,
                         std::initializer_list<EventField> Fields) {
  const EngineEventKind &Kind =
      EngineEventKinds[static_cast<std::size_t>(Event)];
  Buffer += "{\"at\":";
  Buffer += std::to_string(Now);
  Buffer += ",\"node\":";
  detail::appendEscaped(Buffer, Node);
  Buffer += ",\"event\":";
  Buffer += std::to_string(Kind.Number);
  Buffer += ",\"name\":";
  detail::appendEscaped(Buffer, Kind.Name);
  for (const EventField &Field : Fields) {
    Buffer += ',';
    detail::appendEscaped(Buffer, Field.Key);
    Buffer += ':';
    if (Field.IsNumber)
      Buffer += std::to_string(Field.Number);
    else
      detail::appendEscaped(Buffer, Field.Text);
  }
  Buffer += "}\n";
}

void EventWriter::write(EngineEvent Event,
                        std::initializer_list<EventField> Fields) {
  std::int64_t Now = WallMillis();
  if (!admit(static_cast<std::size_t>(Event), Now)) {
    ++Dropped;
    return;
  }
  append(Event, Now, Fields);
}

std::string EventWriter::take() {
  std::string Lines;
  Lines.swap(Buffer);
  return Lines;
}

} // namespace eelgrassloom
