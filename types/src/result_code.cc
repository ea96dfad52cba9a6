#include "goldcrest/types/result_code.h"

#include <algorithm>
#include <array>

namespace goldcrest {
namespace {

using enum ResultCode;

constexpr std::array kResultCodes = {
    ResultCodeInfo{kOk, "ok", Outcome::kDone, 200, "The request ran."},
    ResultCodeInfo{kMalformedRequest, "malformed_request", Outcome::kNotRun,
                   400, "The request is not valid HTTP or JSON."},
    ResultCodeInfo{kBodyTooLarge, "body_too_large", Outcome::kNotRun, 413,
                   "The body is larger than the limit in the settings."},
    ResultCodeInfo{kUnknownPath, "unknown_path", Outcome::kNotRun, 404,
                   "There is no such path or method."},
    ResultCodeInfo{kInvalidField, "invalid_field", Outcome::kNotRun, 400,
                   "A field is missing, unknown or has a value out of range."},
    ResultCodeInfo{kIncompleteRequest, "incomplete_request", Outcome::kNotRun,
                   408, "The request did not arrive whole in time."},
    ResultCodeInfo{kInvalidSession, "invalid_session", Outcome::kNotRun, 400,
                   "The session token is forged, damaged or another "
                   "customer's."},
    ResultCodeInfo{kUnknownTransaction, "unknown_transaction", Outcome::kNotRun,
                   409, "The transaction does not exist or has ended."},
    ResultCodeInfo{kRequestIdReused, "request_id_reused", Outcome::kNotRun, 409,
                   "The request id belongs to a different request."},
    ResultCodeInfo{kKeyMissing, "key_missing", Outcome::kNotRun, 401,
                   "The route is not open and the request has no key."},
    ResultCodeInfo{kKeyUnknown, "key_unknown", Outcome::kNotRun, 401,
                   "The key was never issued."},
    ResultCodeInfo{kKeyWithdrawn, "key_withdrawn", Outcome::kNotRun, 401,
                   "The key was withdrawn."},
    ResultCodeInfo{kNoAccess, "no_access", Outcome::kNotRun, 403,
                   "No access rule lets this caller reach this data."},
    ResultCodeInfo{kOperatorUnauthorized, "operator_unauthorized",
                   Outcome::kNotRun, 401, "The operator token is wrong."},
    ResultCodeInfo{kAnnouncementRejected, "announcement_rejected",
                   Outcome::kNotRun, 403,
                   "The announcement is not signed with the secret or its "
                   "address does not answer as that endpoint."},
    ResultCodeInfo{kRateExceeded, "rate_exceeded", Outcome::kNotRun, 429,
                   "The customer has used its rate and burst."},
    ResultCodeInfo{kQueueFull, "queue_full", Outcome::kNotRun, 503,
                   "The customer's queue for this group is full."},
    ResultCodeInfo{kDeadlineBeforeSend, "deadline_before_send",
                   Outcome::kNotRun, 504,
                   "The deadline passed before the statement was sent."},
    ResultCodeInfo{kTooManyTransactions, "too_many_transactions",
                   Outcome::kNotRun, 503,
                   "All slots that transactions may hold are taken."},
    ResultCodeInfo{kTooManyConnections, "too_many_connections",
                   Outcome::kNotRun, 503,
                   "The instance has its maximum of caller connections."},
    ResultCodeInfo{kUnknownGroup, "unknown_group", Outcome::kNotRun, 404,
                   "No endpoint has announced this group."},
    ResultCodeInfo{kNoCoordinator, "no_coordinator", Outcome::kNotRun, 503,
                   "The group has no coordinator at the moment."},
    ResultCodeInfo{kNoPrimary, "no_primary", Outcome::kNotRun, 503,
                   "The group has no primary at the moment."},
    ResultCodeInfo{kNoControlContact, "no_control_contact", Outcome::kNotRun,
                   503, "The instance's control lease has lapsed."},
    ResultCodeInfo{kReplicasBehind, "replicas_behind", Outcome::kNotRun, 503,
                   "Too many writes wait for replicas."},
    ResultCodeInfo{kDraining, "draining", Outcome::kNotRun, 503,
                   "The instance is stopping."},
    ResultCodeInfo{kCoordinatorMoved, "coordinator_moved", Outcome::kNotRun,
                   503, "The instance no longer coordinates the group."},
    ResultCodeInfo{kNoEndpoint, "no_endpoint", Outcome::kNotRun, 503,
                   "No endpoint that the caller may use can serve the "
                   "request."},
    ResultCodeInfo{kStatementFailed, "statement_failed", Outcome::kDone, 422,
                   "The endpoint ran the statement and reports an error; "
                   "nothing was changed."},
    ResultCodeInfo{kOutcomeUnknown, "outcome_unknown", Outcome::kUnknown, 504,
                   "The statement was sent and no answer came."},
    ResultCodeInfo{kNotReplicated, "not_replicated", Outcome::kUnknown, 504,
                   "The primary ran the write; a majority has not reported "
                   "it in time."},
    ResultCodeInfo{kTransactionAborted, "transaction_aborted", Outcome::kNotRun,
                   409, "The transaction was rolled back."},
    ResultCodeInfo{kEndpointRefused, "endpoint_refused", Outcome::kNotRun, 503,
                   "The endpoint states that it did not run the statement."},
    ResultCodeInfo{kRevisionConflict, "revision_conflict", Outcome::kNotRun,
                   409, "The change was made on an older revision."},
    ResultCodeInfo{kInvalidObject, "invalid_object", Outcome::kNotRun, 400,
                   "A configuration object is not valid."},
    ResultCodeInfo{kUnknownReference, "unknown_reference", Outcome::kNotRun,
                   400, "A configuration object names one that is missing."},
    ResultCodeInfo{kNotLeader, "not_leader", Outcome::kNotRun, 503,
                   "There is no control leader, or this is not the one."},
    ResultCodeInfo{kNotInForce, "not_in_force", Outcome::kUnknown, 504,
                   "The change is logged, not yet in force everywhere."},
    ResultCodeInfo{kChangeIdReused, "change_id_reused", Outcome::kNotRun, 409,
                   "The change id belongs to a different change."},
    ResultCodeInfo{kMemberNotCaughtUp, "member_not_caught_up", Outcome::kNotRun,
                   409, "A control member is still catching up."},
    ResultCodeInfo{kLogDamaged, "log_damaged", Outcome::kNotRun, 500,
                   "The log is damaged before its end."},
    ResultCodeInfo{kLogWriteFailed, "log_write_failed", Outcome::kUnknown, 500,
                   "The log could not be written or synced."},
    ResultCodeInfo{kDataFolderInUse, "data_folder_in_use", Outcome::kNotRun,
                   500, "Another process has the data folder open."},
    ResultCodeInfo{kIdentityMismatch, "identity_mismatch", Outcome::kNotRun,
                   500, "The data folder belongs to another instance."},
    ResultCodeInfo{kSettingsUnreadable, "settings_unreadable", Outcome::kNotRun,
                   500,
                   "The settings file can't be read or is not valid TOML."},
    ResultCodeInfo{kSettingsUnknownKey, "settings_unknown_key",
                   Outcome::kNotRun, 500, "The settings have an unknown key."},
    ResultCodeInfo{kSettingsWrongType, "settings_wrong_type", Outcome::kNotRun,
                   500, "A settings value has the wrong type."},
    ResultCodeInfo{kSettingsOutOfRange, "settings_out_of_range",
                   Outcome::kNotRun, 500, "A settings value is out of range."},
    ResultCodeInfo{kSettingsMissingKey, "settings_missing_key",
                   Outcome::kNotRun, 500,
                   "A required settings key is "
                   "missing."},
};

constexpr auto kToCodeNumber = [](const ResultCodeInfo& info) {
  return static_cast<int>(info.code);
};

}  // namespace

std::span<const ResultCodeInfo> AllResultCodes() {
  return kResultCodes;
}

const ResultCodeInfo& InfoOf(ResultCode code) {
  const auto* it = std::ranges::lower_bound(
      kResultCodes, static_cast<int>(code), {}, kToCodeNumber);
  if (it == kResultCodes.end() || it->code != code)
    return InfoOf(kOutcomeUnknown);
  return *it;
}

ResultCode ResultCodeFromNumber(int number) {
  const auto* it =
      std::ranges::lower_bound(kResultCodes, number, {}, kToCodeNumber);
  if (it == kResultCodes.end() || kToCodeNumber(*it) != number)
    return kOutcomeUnknown;
  return it->code;
}

std::string_view ToString(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace goldcrest
