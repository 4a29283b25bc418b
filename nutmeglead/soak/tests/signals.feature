Feature: Signals to entry programs leave their exit codes as they are

  Scenario: Signals around the end of a process
    # Guards against an exit code 255 that the process has not had: whoever asks for the code first takes it from the others.
    Given entry programs whose settings file is missing
    When 5 of them get signals until their ends are known
    Then each has the exit code of settings that cannot be read

  Scenario: A process that has ended before it can be watched
    # Guards against a soak that breaks off, beside other work, as its own process was given no time between a start and the next line.
    Given entry programs whose settings file is missing
    When one of them has ended before the soak can open its descriptor
    Then each has the exit code of settings that cannot be read
