#include "proxy/CrashExchange.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "base/Hash.h"
#include "http/HttpHeaders.h"
#include "quarantine/CrashCorrelator.h"

namespace amaranthgap {

namespace {

/** @return a path without its query, with percent-encoded bytes decoded. */
std::string
DecodedPath(std::string_view aPath)
{
  constexpr size_t kDigitCount = 2;
  constexpr int kHexadecimal = 16;
  aPath = aPath.substr(0, aPath.find('?'));
  std::string out;
  out.reserve(aPath.size());
  for (size_t n = 0; n < aPath.size(); ++n) {
    const std::string_view digits = aPath.substr(n + 1, kDigitCount);
    uint8_t byte = 0;
    const char* end = digits.data() + digits.size();
    if (aPath[n] == '%' && digits.size() == kDigitCount &&
        std::from_chars(digits.data(), end, byte, kHexadecimal).ptr == end) {
      out += char(byte);
      n += kDigitCount;
    } else {
      out += aPath[n];
    }
  }
  return out;
}

} // namespace

RequestFingerprints
FingerprintsOf(const ForwardRequest& aRequest)
{
  const HttpRequest& http = aRequest.mHttp;
  const std::string host(FindHeader(http.mHeaders, "Host"));
  const uint64_t content = FingerprintOf(host, "", http);
  const uint64_t resource = FingerprintOf(host.substr(0, host.find(':')),
                                          "",
                                          "",
                                          DecodedPath(http.mPath),
                                          http.mBody);
  return { .mOfContent = content,
           .mFromCaller = Hash64(aRequest.mCallerService, content),
           .mOfResource = Hash64(aRequest.mCallerService, resource),
           .mTrialKey = resource,
           .mService = Hash64(aRequest.mService) };
}

CrashExchange::CrashExchange(Logger& aLogger,
                             Options aOptions,
                             Outlets aOutlets)
  : mLogger(aLogger)
  , mOptions(std::move(aOptions))
  , mOutlets(std::move(aOutlets))
  , mRng(mOptions.mSeed)
{
}

Duration
CrashExchange::QuarantineLeft(TimePoint aNow,
                              const ForwardRequest& aRequest) const
{
  if (mEvidence.IsEmpty()) {
    return Duration::zero();
  }
  return mEvidence.QuarantineLeft(aNow, FingerprintsOf(aRequest));
}

void
CrashExchange::Crashed(TimePoint aNow,
                       const std::vector<InFlightRequest>& aInFlight)
{
  ++mCrashCount;
  const uint64_t crash = mRng.Next() | 1; // 0 stands for no crash.
  const CrashNotice news =
    mEvidence.RecordCrash(aNow, mOptions.mService, crash, aInFlight);
  Log(aNow, news, "crash");
  Tell(news, {});
  if (const CrashNotice verdicts = Verdicts(news); !verdicts.IsEmpty()) {
    mOutlets.mKeep(aNow, verdicts);
  }
  mOutlets.mReadKept(!news.mRecords.empty());
}

void
CrashExchange::Completed(TimePoint aNow,
                         const RequestFingerprints& aFingerprints)
{
  const CrashNotice news = mEvidence.RecordCompletion(aNow, aFingerprints);
  Log(aNow, news, "completion");
  Tell(news, {});
  if (const CrashNotice verdicts = Verdicts(news); !verdicts.IsEmpty()) {
    mOutlets.mKeep(aNow, verdicts);
  }
}

void
CrashExchange::Received(TimePoint aNow,
                        const Peer& aFrom,
                        const CrashNotice& aNotice)
{
  const CrashNotice news = mEvidence.Merge(aNow, aNotice);
  Log(aNow, news, aFrom.mNode);
  // Nodes of other services keep what they are told, for nodes that restart.
  if (news.mService == mOptions.mService) {
    Tell(news, aFrom.mRegion);
  }
}

void
CrashExchange::Tell(const CrashNotice& aNews, std::string_view aFromRegion)
{
  // A node has connections to most nodes of its service in its region, and to
  // a few in others, which pass suspects on. That is enough for requests that
  // were in flight at one crash, of which there are many.
  const bool isFromRegion = aFromRegion == mOptions.mRegion;
  const CrashNotice suspects{ .mService = aNews.mService,
                              .mCrash = aNews.mCrash,
                              .mInFlight = aNews.mInFlight,
                              .mInFlightResources = aNews.mInFlightResources };
  if (!suspects.IsEmpty() && !isFromRegion) {
    mOutlets.mSend(suspects, [&](const Peer& aPeer) {
      return aPeer.mService == aNews.mService &&
             (aFromRegion.empty() || aPeer.mRegion == mOptions.mRegion);
    });
  }
  if (!aNews.mRecords.empty()) {
    const CrashNotice records{ .mService = aNews.mService,
                               .mRecords = aNews.mRecords };
    mOutlets.mSend(records, [&](const Peer& aPeer) {
      return aPeer.mService == aNews.mService;
    });
    if (const CrashNotice verdicts = Verdicts(aNews); !verdicts.IsEmpty()) {
      mOutlets.mSend(verdicts, [&](const Peer& aPeer) {
        return aPeer.mService != aNews.mService;
      });
    }
  }
}

void
CrashExchange::ReadKept(TimePoint aNow, const CrashNotice& aNotice)
{
  const CrashNotice news = mEvidence.Merge(aNow, aNotice);
  Log(aNow, news, "store");
  Tell(news, {});
}

void
CrashExchange::Expire(TimePoint aNow)
{
  for (const CrashNotice& it : mEvidence.Expire(aNow)) {
    Log(aNow, it, "expiry");
  }
}

CrashNotice
CrashExchange::Verdicts(const CrashNotice& aNews)
{
  CrashNotice out{ .mService = aNews.mService };
  std::copy_if(aNews.mRecords.begin(),
               aNews.mRecords.end(),
               std::back_inserter(out.mRecords),
               [](const CrashRecord& aRecord) {
                 return std::any_of(
                   aRecord.mMarks.begin(),
                   aRecord.mMarks.end(),
                   [](const CrashMark& aMark) { return aMark.mIsTrial; });
               });
  return out;
}

std::vector<CrashNotice>
CrashExchange::NoticesFor(TimePoint aNow, const Peer& aPeer) const
{
  std::vector<CrashNotice> out;
  for (const std::string& service : mEvidence.Services()) {
    // A content that was in flight at one crash becomes graver at the nodes
    // that know of it, which tell the others.
    const bool isOfPeer =
      service == mOptions.mService && service == aPeer.mService;
    CrashNotice notice = mEvidence.Snapshot(
      aNow, service, isOfPeer ? Suspicion::Probation : Suspicion::Quarantined);
    if (!notice.IsEmpty()) {
      out.push_back(std::move(notice));
    }
  }
  return out;
}

void
CrashExchange::Log(TimePoint aNow,
                   const CrashNotice& aNews,
                   std::string_view aSource)
{
  for (const CrashRecord& it : aNews.mRecords) {
    const Suspicion state = mEvidence.StateOf(aNow, it.mFingerprint);
    std::string crashes;
    for (const CrashMark& mark : it.mMarks) {
      crashes += fmt::format("{}{:08x}{}{}",
                             crashes.empty() ? "" : ",",
                             mark.mCrash >> 32,
                             mark.mIsTrial ? "/trial" : "",
                             mark.mIsCleared ? "/cleared" : "");
    }
    mLogger.Write(aNow,
                  state == Suspicion::Quarantined ? LogLevel::Warning
                                                  : LogLevel::Info,
                  "request-suspicion",
                  { { "fingerprint", fmt::format("{:016x}", it.mFingerprint) },
                    { "service", aNews.mService },
                    { "state", std::string(ToName(state)) },
                    { "crashes", std::move(crashes) },
                    { "for_s", std::to_string(it.mQuarantineMs / 1000) },
                    { "source", std::string(aSource) } });
  }
}

} // namespace amaranthgap
