#include "ctl.h"

#include <csignal>
#include <iostream>

int main(int argc, char **argv)
{
    // Writing to a connection that the server has closed must not terminate the program.
    std::signal(SIGPIPE, SIG_IGN);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return rattanrill::ctl::runCtl(arguments, std::cout, std::cerr);
}
