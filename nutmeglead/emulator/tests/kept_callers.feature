Feature: Callers that keep their connections count the requests that are lost with them

  A caller sends requests on one connection at a time, in memory on virtual time, to a process that does the same to each
  connection. The caller's idle timeout is 2 s and its head timeout 1 s; it sends for 6 s.

  Scenario Outline: A process that <behaviour>, and callers that send <sending>
    Given a process that <behaviour>
    When callers send requests <sending> to it
    Then they count <lost> requests as lost and <unanswered> as unanswered

    Examples: each row names the error of the count that it guards against
      | behaviour                                        | sending              | lost | unanswered | error                                             |
      | answers each request                             | in any way           | no   | no         | answered requests count as lost                   |
      | ends connections instead of answering            | after idleness       | some | no         | a close without an answer is overlooked           |
      | resets connections instead of answering          | after idleness       | some | no         | the same for a reset                              |
      | ends connections in the middle of an answer      | after idleness       | some | no         | a part of an answer counts as an answer           |
      | ends connections after the first of many answers | ahead                | some | no         | only the oldest request is looked at              |
      | announces the end with the first answer          | ahead                | no   | no         | an announced end counts                           |
      | refuses requests with 408 and ends connections   | ahead, then in parts | no   | no         | a refusal counts as a loss                        |
      | ends connections when a request begins to arrive | in parts             | no   | no         | a request counts that was never whole             |
      | ends connections that are idle for 100 ms        | after idleness       | no   | no         | a caller writes although it has seen the end      |
      | answers nothing                                  | in parts             | no   | some       | a caller waits for good                           |
      | is killed instead of answering                   | after idleness       | no   | no         | a fault of the process counts as a loss by itself |
      | was killed just before callers connect           | ahead                | no   | no         | the same, while its kernel still takes connections |

  Scenario: Callers leave a connection that was idle for longer than they use
    # Guards against a count of requests that a process may close, as its idle timeout is over.
    Given a process that answers each request
    When callers whose loop stood still for 1900 ms would send a request
    Then they have left the connection instead
