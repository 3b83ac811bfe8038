/// \file
/// The groups of cases of the wire test. Each guards against one kind of fault.

#ifndef EELGRASSLOOM_WIRE_CASES_H
#define EELGRASSLOOM_WIRE_CASES_H

#include "script.h"
#include "server.h"
#include <deque>
#include <span>

namespace eelgrassloom::wiretest {

/// What a group of cases gets to build its sessions.
struct CaseContext {
  Board &Checks;
  Service &Shared;
  std::mt19937_64 Random;
  std::deque<Script> Scripts;

  /// A session at the next proxy.
  ScriptWriter session(std::string Database = "latest");
  void add(ScriptWriter &Session) { Scripts.push_back(Session.take()); }

  unsigned Sessions = 0;
  /// So many of the first sessions take long; each gets a caller of its own.
  unsigned LongSessions = 0;
  /// A server accepts few connections, so that statements may be refused.
  bool FewConnections = false;
  /// When the keys of the customers change.
  Instant ChangeAt = {};
};

struct CaseGroup {
  std::string_view Name;
  /// Adds sessions to the context.
  void (*Build)(CaseContext &);
  /// Connections that a server accepts. If they are few, one proxy owns the
  /// service and runs the statements of the other one.
  unsigned MaxConnections;
  /// Percentage of the statements that must succeed.
  unsigned MinSucceeded;
  /// Keys are checked, and change during the run.
  bool HasCustomers = false;
};

std::span<const CaseGroup> caseGroups();

/// Texts, items and ids that are cut, split or changed on their way to a
/// server.
void buildTexts(CaseContext &C);
/// Rows, signatures and error texts that are cut, split or changed on their way
/// to the caller.
void buildRows(CaseContext &C);
/// Prepared statements that run another shape, mode or argument.
void buildShapes(CaseContext &C);
/// Statements that run with other values of the session.
void buildValues(CaseContext &C);
/// Second answers that are taken for those of the next statement.
void buildRepeatedAnswers(CaseContext &C);
/// Successes without a signature that are passed on.
void buildLateAnswers(CaseContext &C);
void buildUnsignedAnswers(CaseContext &C);
/// Messages at the size limit that are refused, and larger ones that are sent.
void buildLimits(CaseContext &C);
/// Large rows, and answers with many rows.
void buildLargeAnswers(CaseContext &C);
/// Bytes that are changed between two proxies.
void buildForwarded(CaseContext &C);
/// Statements that run as another customer than the holder of the caller's key,
/// without a valid key or with a removed one; keys that become visible.
void buildCustomers(CaseContext &C);

/// Sets the customers at the start of the run.
void setCustomers(CaseContext &C);
/// Removes, moves and adds keys.
void changeKeys(CaseContext &C);

} // namespace eelgrassloom::wiretest

#endif // EELGRASSLOOM_WIRE_CASES_H
