#ifndef GOLDCREST_TYPES_RESULT_CODE_H_
#define GOLDCREST_TYPES_RESULT_CODE_H_

#include <cstdint>
#include <span>
#include <string_view>

namespace goldcrest {

//! What is known about a request when its answer is sent.
enum class Outcome : std::uint8_t {
  kDone,     //!< It ran; the answer is that of the endpoint.
  kNotRun,   //!< It did not run and will not run.
  kUnknown,  //!< It may have run. Resend it with the same request id.
};

//! Numbered results of requests, operator calls and start-up. The numbers are
//! part of the interface and are listed in docs/result-codes.md.
enum class ResultCode : std::uint16_t {
  kOk = 0,

  kMalformedRequest = 100,
  kBodyTooLarge = 101,
  kUnknownPath = 102,
  kInvalidField = 103,
  kIncompleteRequest = 104,
  kInvalidSession = 105,
  kUnknownTransaction = 106,
  kRequestIdReused = 107,

  kKeyMissing = 200,
  kKeyUnknown = 201,
  kKeyWithdrawn = 202,
  kNoAccess = 203,
  kOperatorUnauthorized = 204,
  kAnnouncementRejected = 205,

  kRateExceeded = 300,
  kQueueFull = 301,
  kDeadlineBeforeSend = 302,
  kTooManyTransactions = 303,
  kTooManyConnections = 304,

  kUnknownGroup = 400,
  kNoCoordinator = 401,
  kNoPrimary = 402,
  kNoControlContact = 403,
  kReplicasBehind = 404,
  kDraining = 405,
  kCoordinatorMoved = 406,
  kNoEndpoint = 407,

  kStatementFailed = 500,
  kOutcomeUnknown = 501,
  kNotReplicated = 502,
  kTransactionAborted = 503,
  kEndpointRefused = 504,

  kRevisionConflict = 600,
  kInvalidObject = 601,
  kUnknownReference = 602,
  kNotLeader = 603,
  kNotInForce = 604,
  kChangeIdReused = 605,
  kMemberNotCaughtUp = 606,

  kLogDamaged = 700,
  kLogWriteFailed = 701,
  kDataFolderInUse = 702,
  kIdentityMismatch = 703,

  kSettingsUnreadable = 800,
  kSettingsUnknownKey = 801,
  kSettingsWrongType = 802,
  kSettingsOutOfRange = 803,
  kSettingsMissingKey = 804,
};

//! The fixed facts about one result code.
struct ResultCodeInfo {
  ResultCode code;
  std::string_view name;
  Outcome outcome;
  int http_status;
  std::string_view meaning;
};

//! All codes in ascending order.
std::span<const ResultCodeInfo> AllResultCodes();

const ResultCodeInfo& InfoOf(ResultCode code);

constexpr int ToNumber(ResultCode code) {
  return static_cast<int>(code);
}

//! The code with this number; kOutcomeUnknown when there is none, since a peer
//! with a newer version may send codes that this one does not know.
ResultCode ResultCodeFromNumber(int number);

std::string_view ToString(Outcome outcome);

}  // namespace goldcrest

#endif  // GOLDCREST_TYPES_RESULT_CODE_H_
