/// \file
/// Sessions of the wire test's callers: what is sent in turn, and what a server
/// has to run for it.

#ifndef EELGRASSLOOM_WIRE_SCRIPT_H
#define EELGRASSLOOM_WIRE_SCRIPT_H

#include "board.h"

namespace eelgrassloom::wiretest {

/// A session.
struct Script {
  /// Index of the proxy.
  std::size_t Proxy = 0;
  std::string Database = "latest";
  /// START has no key if it is empty.
  std::string Key = "u";
  /// Sent in place of the START line that database and key give.
  std::string StartLine = {};
  /// The caller waits until then before it connects.
  std::optional<Instant> StartAt = {};
  /// START must be answered with this error. Empty: the session must start.
  std::string StartCode = {};
  std::vector<StatementRef> Statements;
  /// The two bytes of each line end are sent separately.
  bool SplitsLineEnd = false;
};

/// Adds statements to a session. Follows its values, prepared statements and
/// transactions, under the assumption that each statement succeeds.
class ScriptWriter {
public:
  ScriptWriter(Board &Checks, std::size_t Proxy, std::string Database);

  void useKey(std::string Key) { S.Key = std::move(Key); }
  /// The server is told no customer.
  void usePublicRoute() { Public = true; }
  /// Sends the next statements no earlier.
  void waitUntil(Instant At) { NotBefore = At; }
  void startAt(Instant At) { S.StartAt = At; }
  void sendStart(std::string Line) { S.StartLine = std::move(Line); }
  void demandStartCode(std::string Code) { S.StartCode = std::move(Code); }

  /// The next id starts with \p Prefix.
  void useId(std::string Prefix) { IdPrefix = std::move(Prefix); }
  void plan(AnswerPlan Next) { Plan = std::move(Next); }
  void demand(Demand Next) { Wanted = Next; }

  Statement &read(const std::string &Item);
  Statement &write(const std::string &Item, const std::string &Data);
  void set(const std::string &Name, const std::string &Value);
  void prepare(const std::string &Name, bool Writes, const std::string &Shape);
  void dealloc(const std::string &Name);
  Statement &execute(const std::string &Name, const std::string &Arguments);
  void begin(bool ReadOnly = false);
  void commit();
  void rollback();

  Script take() { return std::move(S); }

private:
  Statement &add(TextKind Kind, const std::string &Text);

  Board &Checks;
  Script S;
  std::string IdPrefix = "id";
  AnswerPlan Plan;
  Demand Wanted = Demand::Success;
  std::map<std::string, std::string> Values;
  /// Whether it writes, and the shape, by name.
  std::map<std::string, std::pair<bool, std::string>> Prepared;
  unsigned Transaction = 0;
  bool Public = false;
  std::optional<Instant> NotBefore;
};

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_SCRIPT_H
