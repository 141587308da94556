/*
 * Implements the accept and reply loops of the targets with Beast.
 */
#include <utility>

#include "EchoTargets.h"

#include <atomic>
#include <thread>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace wasabispread::benchmarks {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr std::size_t kResultBytes = 64;

/** A connection, which exists as long as an operation on it is pending. */
class EchoSession : public std::enable_shared_from_this<EchoSession>
{
public:
  EchoSession(Tcp::socket aSocket, std::atomic<std::uint64_t>& aExchanges)
    : mSocket(std::move(aSocket))
    , mExchanges(aExchanges)
  {
    mResponse.version(11);
    mResponse.set("X-Snapshot", "1");
    mResponse.set("X-Snapshots", "1");
    mResponse.body() = std::string(kResultBytes, 'r');
  }

  void Read()
  {
    mRequest = {};
    http::async_read(
      mSocket,
      mBuffer,
      mRequest,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (!aError) {
          self->Write();
        }
      });
  }

private:
  void Write()
  {
    mResponse.set("X-Attempt-Id", mRequest["X-Attempt-Id"]);
    mResponse.prepare_payload();
    http::async_write(
      mSocket,
      mResponse,
      [self = shared_from_this()](beast::error_code aError, std::size_t) {
        if (!aError) {
          self->mExchanges.fetch_add(1);
          self->Read();
        }
      });
  }

  Tcp::socket mSocket;
  std::atomic<std::uint64_t>& mExchanges;
  beast::flat_buffer mBuffer;
  http::request<http::string_body> mRequest;
  http::response<http::string_body> mResponse;
};

} // namespace

struct EchoTargets::Implementation
{
  void Accept(Tcp::acceptor& aAcceptor)
  {
    aAcceptor.async_accept(
      [this, &aAcceptor](beast::error_code aError, Tcp::socket aSocket) {
        if (aError) {
          return;
        }
        aSocket.set_option(Tcp::no_delay(true));
        std::make_shared<EchoSession>(std::move(aSocket), mExchanges)->Read();
        Accept(aAcceptor);
      });
  }

  asio::io_context mContext{ 1 };
  std::vector<std::unique_ptr<Tcp::acceptor>> mAcceptors;
  std::atomic<std::uint64_t> mExchanges{ 0 };
  std::thread mThread;
};

EchoTargets::EchoTargets(std::uint16_t aFirstPort, unsigned aCount)
  : mImplementation(std::make_unique<Implementation>())
{
  for (unsigned index = 0; index < aCount; ++index) {
    const auto port = static_cast<std::uint16_t>(aFirstPort + index);
    mImplementation->mAcceptors.push_back(std::make_unique<Tcp::acceptor>(
      mImplementation->mContext,
      Tcp::endpoint(asio::ip::address_v4::loopback(), port)));
    mImplementation->Accept(*mImplementation->mAcceptors.back());
  }
  mImplementation->mThread =
    std::thread([this] { mImplementation->mContext.run(); });
}

EchoTargets::~EchoTargets()
{
  mImplementation->mContext.stop();
  mImplementation->mThread.join();
}

std::uint64_t
EchoTargets::Exchanges() const
{
  return mImplementation->mExchanges.load();
}

} // namespace wasabispread::benchmarks
