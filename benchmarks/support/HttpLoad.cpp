/*
 * Implements the connections and the arrivals of the load generator.
 */
#include <utility>

#include "HttpLoad.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <random>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/resource.h>

namespace wasabispread::benchmarks {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kMaxResponseBytes = 1U << 26U;
constexpr unsigned kArrivalSeed = 1;

double
ThreadProcessorSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_THREAD, &usage);
  const auto seconds = [](const timeval& aTime) {
    return static_cast<double>(aTime.tv_sec) +
           static_cast<double>(aTime.tv_usec) * 1e-6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

class LoadLoop;

/** A connection that carries one exchange at a time. */
class LoadConnection
{
public:
  LoadConnection(asio::io_context& aContext, std::uint16_t aPort)
    : mSocket(aContext)
  {
    mSocket.connect(Tcp::endpoint(asio::ip::address_v4::loopback(), aPort));
    mSocket.set_option(Tcp::no_delay(true));
  }

  void Send(LoadLoop& aLoop, Clock::time_point aArrival);

private:
  void Read(LoadLoop& aLoop);

  Tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  std::unique_ptr<http::response_parser<http::string_body>> mParser;
  Clock::time_point mArrival;
};

/** All connections, and the queue of arrivals that wait for one. */
class LoadLoop
{
public:
  explicit LoadLoop(const LoadPlan& aPlan)
    : mPlan(aPlan)
    , mArrivalTimer(mContext)
    , mRandom(kArrivalSeed)
  {
    for (unsigned index = 0; index < aPlan.mConnections; ++index) {
      mConnections.push_back(std::make_unique<LoadConnection>(
        mContext, aPlan.mPorts[index % aPlan.mPorts.size()]));
    }
    mRequest.method(http::verb::post);
    mRequest.target(aPlan.mPath);
    mRequest.version(11);
    mRequest.set(http::field::host, "127.0.0.1");
    mRequest.set("X-Request-Id", "vm-a-1700000000000000-12345");
    mRequest.set("X-Attempt-Id", "123456789012345678.1700000000000000.12345");
    mRequest.set("X-Deadline-Ms", "900");
    mRequest.set("X-Patience-Ms", "1000");
    mRequest.set("X-Snapshot", "1");
    mRequest.body() = "query";
    mRequest.prepare_payload();
  }

  LoadResult Run()
  {
    const double before = ThreadProcessorSeconds();
    mEnd = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                            std::chrono::duration<double>(mPlan.mSeconds));
    for (const auto& connection : mConnections) {
      StartNext(*connection);
    }
    if (mPlan.mRate > 0) {
      mNextArrival = Clock::now();
      ScheduleArrival();
    }
    mContext.run();
    mResult.mProcessorSeconds = ThreadProcessorSeconds() - before;
    std::sort(mResult.mLatencies.begin(), mResult.mLatencies.end());
    return std::move(mResult);
  }

  const http::request<http::string_body>& Request() const { return mRequest; }

  /** Records a response and starts the next exchange on its connection. */
  void RecordResponse(LoadConnection& aConnection,
                      Clock::time_point aArrival,
                      bool aSucceeded)
  {
    (aSucceeded ? mResult.mSucceeded : mResult.mFailed) += 1;
    const std::chrono::duration<double, std::milli> taken =
      Clock::now() - aArrival;
    mResult.mLatencies.push_back(taken.count());
    StartNext(aConnection);
  }

  /** Records that a connection failed. */
  void RecordFailure() { ++mResult.mFailed; }

private:
  void StartNext(LoadConnection& aConnection)
  {
    const Clock::time_point now = Clock::now();
    if (mPlan.mRate == 0) {
      if (now < mEnd) {
        aConnection.Send(*this, now);
      }
    } else if (!mWaitingArrivals.empty()) {
      const Clock::time_point arrival = mWaitingArrivals.front();
      mWaitingArrivals.pop_front();
      aConnection.Send(*this, arrival);
    } else {
      mIdleConnections.push_back(&aConnection);
    }
  }

  void ScheduleArrival()
  {
    std::exponential_distribution<double> gap(mPlan.mRate);
    mNextArrival += std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(gap(mRandom)));
    if (mNextArrival > mEnd) {
      return;
    }
    mArrivalTimer.expires_at(mNextArrival);
    mArrivalTimer.async_wait([this](beast::error_code) {
      mWaitingArrivals.push_back(mNextArrival);
      if (!mIdleConnections.empty()) {
        LoadConnection* connection = mIdleConnections.back();
        mIdleConnections.pop_back();
        StartNext(*connection);
      }
      ScheduleArrival();
    });
  }

  const LoadPlan& mPlan;
  asio::io_context mContext{ 1 };
  asio::steady_timer mArrivalTimer;
  std::mt19937_64 mRandom;
  http::request<http::string_body> mRequest;
  std::vector<std::unique_ptr<LoadConnection>> mConnections;
  std::vector<LoadConnection*> mIdleConnections;
  std::deque<Clock::time_point> mWaitingArrivals;
  Clock::time_point mEnd;
  Clock::time_point mNextArrival;
  LoadResult mResult;
};

void
LoadConnection::Send(LoadLoop& aLoop, Clock::time_point aArrival)
{
  mArrival = aArrival;
  http::async_write(mSocket,
                    aLoop.Request(),
                    [this, &aLoop](beast::error_code aError, std::size_t) {
                      if (aError) {
                        aLoop.RecordFailure();
                      } else {
                        Read(aLoop);
                      }
                    });
}

void
LoadConnection::Read(LoadLoop& aLoop)
{
  mParser = std::make_unique<http::response_parser<http::string_body>>();
  mParser->body_limit(kMaxResponseBytes);
  http::async_read(mSocket,
                   mBuffer,
                   *mParser,
                   [this, &aLoop](beast::error_code aError, std::size_t) {
                     if (aError) {
                       aLoop.RecordFailure();
                       return;
                     }
                     const bool succeeded =
                       mParser->get().result() == http::status::ok;
                     aLoop.RecordResponse(*this, mArrival, succeeded);
                   });
}

} // namespace

double
LoadResult::Quantile(double aShare) const
{
  if (mLatencies.empty()) {
    return 0;
  }
  const auto rank =
    static_cast<std::size_t>(aShare * static_cast<double>(mLatencies.size()));
  return mLatencies[std::min(rank, mLatencies.size() - 1)];
}

LoadResult
RunLoad(const LoadPlan& aPlan)
{
  return LoadLoop(aPlan).Run();
}

} // namespace wasabispread::benchmarks
