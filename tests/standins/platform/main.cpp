/*
 * A stand-in for the platform: a key-value store with compare-and-swap, leases
 * and watches, and a VM list that changes with a delay. Faults are set by HTTP
 * requests under /control.
 */
#include "Platform.h"

#include <cstdlib>
#include <iostream>

#include <boost/program_options.hpp>

namespace wasabispread {

namespace {

int
Run(const Endpoint& aAddress, std::uint64_t aSeed)
{
  IoLoop loop;
  Platform platform(aSeed);
  HttpServerLimits limits;
  limits.mMaxBodyBytes = 2 * kMaxValueBytes;
  auto server = HttpServer::Start(
    loop, aAddress, limits, [&platform](const HttpRequest& aRequest) {
      return platform.Handle(aRequest);
    });
  if (!server) {
    std::cerr << ToText(server.error()) << "\n";
    return EXIT_FAILURE;
  }
  loop.WaitForStopSignal();
  std::quick_exit(EXIT_SUCCESS);
}

int
Main(int aCount, char** aArguments)
{
  namespace options = boost::program_options;
  Endpoint address{ "127.0.0.1", 0 };
  std::uint64_t seed = 1;
  options::options_description description("Options");
  auto add = description.add_options();
  add("port", options::value(&address.mPort)->required(), "port");
  add("seed", options::value(&seed), "seed of the random number generator");
  options::variables_map values;
  options::store(options::parse_command_line(aCount, aArguments, description),
                 values);
  options::notify(values);
  return Run(address, seed);
}

} // namespace

} // namespace wasabispread

int
main(int aCount, char** aArguments)
{
  return wasabispread::Main(aCount, aArguments);
}
