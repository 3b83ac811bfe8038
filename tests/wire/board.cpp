#include "board.h"
#include <algorithm>
#include <array>
#include <cstdio>

namespace eelgrassloom::wiretest {

bool isData(TextKind K) {
  return K == TextKind::Read || K == TextKind::Write ||
         K == TextKind::Execute || K == TextKind::Commit;
}

bool keepsNothing(std::string_view Code) {
  static constexpr std::array<std::string_view, 10> Codes = {
      "BUSY",    "ABORTED",   "LAGGING", "READONLY", "WRONGNODE",
      "TOOMANY", "MALFORMED", "NODB",    "TOOBIG",   "NOAUTH"};
  return std::find(Codes.begin(), Codes.end(), Code) != Codes.end();
}

StatementRef Board::find(const std::string &Id) const {
  auto It = ById.find(Id);
  return It == ById.end() ? nullptr : It->second;
}

void Board::fail(const std::string &Key, std::string_view Rule,
                 const std::string &Text) {
  if (!Enabled)
    return;
  Wrong.insert(Key);
  if (!Printed.emplace(Key, Rule).second)
    return;
  std::printf("%.*s: %s: %s\n", static_cast<int>(Rule.size()), Rule.data(),
              printable(Key).c_str(), Text.c_str());
}

std::string Board::nextSignature() {
  return "7." + std::to_string(++Signatures);
}

void Board::refuseTransaction(unsigned Transaction) {
  for (const auto &[Id, S] : ById)
    if (S->Transaction == Transaction)
      S->Refused = true;
}

void Board::checkAnswer(Statement &S, const Answer &A) {
  ++Asked;
  checkState(S, A);
  if (!A.Code) {
    ++Succeeded;
    S.Succeeded = true;
    if (S.Kind == TextKind::Rollback)
      refuseTransaction(S.Transaction);
    checkSuccess(S, A);
    return;
  }
  if (keepsNothing(*A.Code)) {
    S.Refused = true;
    if (S.Transaction != 0)
      refuseTransaction(S.Transaction);
  }
  checkError(S, A);
}

void Board::checkState(const Statement &S, const Answer &A) {
  char Wanted = 'I';
  if (S.Transaction != 0 && S.Kind != TextKind::Commit &&
      S.Kind != TextKind::Rollback)
    Wanted = A.Code ? 'E' : 'T';
  // A session leaves a transaction at its end only.
  if (A.State != Wanted && !(A.Code && S.Transaction != 0))
    fail(S.Id, "MIXED",
         std::string("state ") + A.State + " instead of " + Wanted);
}

void Board::checkSuccess(const Statement &S, const Answer &A) {
  if (S.Wanted == Demand::PlannedError || S.Wanted == Demand::TooBig ||
      S.Wanted == Demand::NotAuthorized || S.Wanted == Demand::Aborted ||
      S.Wanted == Demand::Refused)
    fail(S.Id, "MIXED", "success instead of an error");
  if (!isData(S.Kind)) {
    if (!A.Rows.empty() || A.Signature != "-")
      fail(S.Id, "MIXED",
           "an answer with rows or a signature to " + printable(S.Text));
    return;
  }
  if (!A.Signature || A.Signature == "-") {
    fail(S.Id, "MIXED", "success without signature for " + printable(S.Text));
    return;
  }
  bool Sent =
      std::any_of(S.Sent.begin(), S.Sent.end(), [&](const Answer &Other) {
        return Other.Signature == A.Signature && Other.Rows == A.Rows;
      });
  if (!Sent)
    fail(S.Id, "MIXED",
         "no server sent " + std::to_string(A.Rows.size()) + " rows with " +
             printable(*A.Signature) + " for " + printable(S.Text));
}

void Board::checkError(const Statement &S, const Answer &A) {
  std::string Got = printable(*A.Code) + " " + printable(A.ErrorText) + " to " +
                    printable(S.Text);
  bool TooBig = A.Code == "TOOBIG";
  switch (S.Wanted) {
  case Demand::Success:
    fail(S.Id, "REFUSAL", Got);
    return;
  case Demand::PlannedError:
    if (A.Code != S.Plan.Code || A.ErrorText != S.Plan.ErrorText)
      fail(S.Id, "MIXED", "not the error that the server has sent: " + Got);
    return;
  case Demand::TooBig:
  case Demand::SuccessOrTooBig:
    if (!TooBig)
      fail(S.Id, "REFUSAL", Got);
    return;
  case Demand::NotAuthorized:
    if (A.Code != "NOAUTH")
      fail(S.Id, "KEY", Got);
    return;
  case Demand::Aborted:
    if (A.Code != "ABORTED")
      fail(S.Id, "KEY", Got);
    return;
  case Demand::Refused:
    if (!keepsNothing(*A.Code))
      fail(S.Id, "KEY", Got);
    return;
  case Demand::Any:
    return;
  }
}

void Board::checkNoAnswer(const Statement &S) {
  ++Asked;
  if (S.Wanted != Demand::Any && S.Wanted != Demand::TooBig)
    fail(S.Id, "NOANSWER", printable(S.Text));
}

void Board::checkWrites() {
  for (const auto &[Id, S] : ById) {
    if (S->Applied > 1)
      fail(Id, "TWICE", printable(S->Text));
    if (S->Applied > 0 && S->Refused)
      fail(Id, "REFUSED", "committed: " + printable(S->Text));
    bool Alone =
        S->Transaction == 0 && (S->Kind == TextKind::Write ||
                                (S->Kind == TextKind::Execute && S->Writes));
    if (Alone && S->Succeeded && S->Applied == 0)
      fail(Id, "MIXED", "success, but never committed: " + printable(S->Text));
  }
}

} // namespace eelgrassloom::wiretest
