Feature: The build leaves dependencies that the entry program can use, whatever it finds

  The program ended at each start with ModuleNotFoundError where the build took the age of a folder for proof that it is complete.

  Scenario Outline: The build finds <state>
    Given a folder of dependencies, which is newer than the requirements
    And <state>
    When the build runs
    Then it <action>, and the modules of all requirements can be imported

    Examples: each row names the failure it guards against
      | state                                             | action                    | failure                                                    |
      | it is as the build left it                        | installs nothing          | each build loads all packages again                        |
      | it is empty                                       | installs the dependencies | an empty folder counts as complete                         |
      | it is missing                                     | installs the dependencies | nothing is installed at first                              |
      | a file of it is missing                           | installs the dependencies | an interrupted install counts as complete                  |
      | a package of it is missing                        | installs the dependencies | the same, between two packages                             |
      | a package of it has another version               | installs the dependencies | changed requirements are not installed                     |
      | a compiled module of it is for another processor  | installs the dependencies | a folder that was carried over counts as made here         |
      | an earlier install has left its unfinished folder | installs nothing          | a folder that is complete is replaced by an unfinished one |

  Scenario Outline: The installer <behaviour>
    Given a folder of dependencies, which is newer than the requirements
    And a file of it is missing
    When the build runs with an installer that <behaviour>
    Then the build fails, and the folder is as it was

    Examples: each row names the failure it guards against
      | behaviour                    | failure                                                       |
      | fails                        | a build without its packages counts as successful             |
      | installs only half the files | a registry's broken package is found at the start of programs |

  Scenario: Programs that run from the folder find their modules during an install
    # Guards against an import during the build that fails, because files are replaced one by one.
    Given a folder of dependencies, which is newer than the requirements
    And a package of it has another version
    When the build runs
    Then the old files were there until the new ones were complete
